/**
 * Fuzzes responses of the platform's store and the records in it. Every record
 * that the readers accept must be usable to serve requests.
 */
#include "keyed_records.hpp"
#include "record_parser.hpp"

#include <cstdlib>

using namespace cyclamenrun;

namespace
{

void check(bool condition)
{
    if (!condition)
        std::abort();
}

void check_configuration(std::string_view text)
{
    const auto read = platform::read_configuration(text);
    if (!read)
        return;
    for (const auto& route : read->routes) {
        check(route.max_attempts >= 1);
        check(route.timeout >= milliseconds::zero());
        check(route.objective >= milliseconds::zero());
        check(route.gap_target >= milliseconds::zero());
    }
}

void check_upstream(const std::string& id, std::string_view text)
{
    const auto read = platform::read_upstream(id, text);
    if (!read)
        return;
    check(read->id == id);
    check(read->slots > 0);
    check(read->address.port != 0);
}

void check_record(const platform::keyed_record& record)
{
    if (!record.value)
        return;
    check_configuration(*record.value);
    check_upstream(record.key, *record.value);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    if (const auto batch = platform::read_record_batch(bytes)) {
        for (const auto& record : batch->records)
            check_record(record);
    }
    if (const auto page = platform::read_newest_page(bytes)) {
        for (const auto& record : page->records)
            check_record(record);
    }
    check_configuration(bytes);
    check_upstream("i-1", bytes);
    return 0;
}
