#include "build_info.hpp"

namespace cyclamenrun
{

const std::string_view build_version = CYCLAMENRUN_VERSION;

std::string version_text(std::string_view program)
{
    std::string text(program);
    text += ' ';
    text += build_version;
    return text + " (built with " __VERSION__ ")";
}

} // namespace cyclamenrun
