#include "upstream_kind.hpp"

namespace cyclamenrun
{

std::string_view name_of(upstream_kind kind)
{
    return kind == upstream_kind::model ? "model" : "application";
}

std::optional<upstream_kind> parse_upstream_kind(std::string_view name)
{
    for (const auto kind : {upstream_kind::model, upstream_kind::application}) {
        if (name_of(kind) == name)
            return kind;
    }
    return std::nullopt;
}

} // namespace cyclamenrun
