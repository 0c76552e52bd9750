#ifndef CYCLAMENRUN_BUILD_INFO_HPP
#define CYCLAMENRUN_BUILD_INFO_HPP

#include <string>
#include <string_view>

namespace cyclamenrun
{

/** Version of the project, as in CMakeLists.txt. */
extern const std::string_view build_version;

/** Output of `--version`: program, version and compiler. */
std::string version_text(std::string_view program);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_BUILD_INFO_HPP
