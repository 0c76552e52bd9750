#ifndef CYCLAMENRUN_UPSTREAM_KIND_HPP
#define CYCLAMENRUN_UPSTREAM_KIND_HPP

#include <cstdint>
#include <optional>
#include <string_view>

namespace cyclamenrun
{

/** Kind of the upstream that an agent manages. */
enum class upstream_kind : std::uint8_t {
    model,       ///< A model engine, which generates tokens.
    application, ///< An application runner, which answers calls.
};

std::string_view name_of(upstream_kind kind);
std::optional<upstream_kind> parse_upstream_kind(std::string_view name);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_UPSTREAM_KIND_HPP
