#include "order_claims.hpp"

#include "configuration_store.hpp"

#include <array>

namespace cyclamenrun
{

namespace
{

constexpr std::array<std::string_view, 3> failure_names{
    "log_failed", "behind_gap", "too_long"};

} // namespace

std::string_view name_of(claim_failure failure)
{
    return failure_names.at(static_cast<std::size_t>(failure));
}

order_claims::order_claims(platform_log& log, configuration_store& store)
    : log_(log), store_(store), cursor_(store)
{
}

tl::expected<std::optional<v1::ClaimState>, claim_failure>
order_claims::read(const std::string& upstream)
{
    std::optional<std::uint64_t> end;
    for (int reads = 0; reads < max_reads; ++reads) {
        const auto page =
            log_.read(cursor_.next(), page_records, milliseconds(0));
        if (!page && page.error().failure != log_failure::retained_away)
            return tl::unexpected(claim_failure::log_failed);
        if (!page) {
            cursor_.handle(page.error());
            continue;
        }
        cursor_.handle(*page);
        if (!end)
            end = page->next;
        if (cursor_.state() == tail_state::following &&
            store_.revision() >= *end)
            return store_.claim(upstream);
        if (page->records.empty())
            break;
    }
    return tl::unexpected(cursor_.state() == tail_state::behind_gap
                              ? claim_failure::behind_gap
                              : claim_failure::too_long);
}

tl::expected<std::uint64_t, log_error>
order_claims::append(const v1::ClaimRecord& claim)
{
    return log_.append(log_record_of(claim));
}

} // namespace cyclamenrun
