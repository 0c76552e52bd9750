/**
 * Fuzzes directory calls of a gateway and directory answers of a monitor.
 * Valid answers also pass through a relay's history, which must return the
 * records that were stored in it.
 */
#include "directory.pb.h"
#include "directory_messages.hpp"
#include "feed_history.hpp"
#include "record_parser.hpp"

#include <cstdlib>

using namespace cyclamenrun;

namespace
{

constexpr std::size_t max_changes = 16;

void check(bool condition)
{
    if (!condition)
        std::abort();
}

void check_history(directory_page<upstream_change> page)
{
    feed_history<upstream_record_traits> history(max_changes);
    const auto first = page.next_offset;
    history.restart(page);
    check(history.since(first).has_value());
    check(!history.since(first + 1));
    // Adds the same records again, each at an offset of its own.
    page.offsets.clear();
    for (std::size_t i = 0; i < page.items.size(); ++i)
        page.offsets.push_back(first + i);
    page.next_offset = first + page.items.size();
    if (page.next_offset < first)
        return;
    history.extend(page);
    check(history.next_offset() == page.next_offset);
    const auto newest = history.newest();
    check(newest.items.size() <= page.items.size());
    const auto after_last = history.since(page.next_offset);
    check(after_last && after_last->items.empty());
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    v1::DirectoryCall call;
    (void)call.ParseFromArray(data, static_cast<int>(size));
    v1::DirectoryAnswer answer;
    if (!answer.ParseFromArray(data, static_cast<int>(size)))
        return 0;
    if (auto page = read_upstreams(answer)) {
        for (const auto& change : page->items) {
            check(!change.id.empty());
            check(!change.record || change.record->address.port != 0);
            check(!change.record || !change.record->service.empty());
        }
        const auto again = read_upstreams(answer_of(*page));
        check(again && again->items.size() == page->items.size());
        check_history(std::move(*page));
    }
    const auto configurations =
        read_configurations(answer, platform::read_configuration);
    if (configurations)
        check(configurations->items.size() +
                  configurations->unreadable.size() ==
              static_cast<std::size_t>(answer.configurations_size() +
                                       answer.evacuations_size()));
    return 0;
}
