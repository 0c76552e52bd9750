#include "directory.pb.h"
#include "directory_messages.hpp"
#include "evacuated_domains.hpp"
#include "read_coalescer.hpp"

#include <gtest/gtest.h>
#include <map>
#include <random>
#include <set>

namespace cyclamenrun
{
namespace
{

using relay_reads = read_coalescer<configuration_text_traits>;
using text_page = directory_page<configuration_text_record>;

/**
 * The directory's topic in memory: configurations, and evacuations of a few
 * domains. It may delete its history.
 */
class record_log
{
public:
    void append(configuration_text_record record)
    {
        records_.push_back(std::move(record));
    }
    void delete_history() { first_ = records_.size(); }
    std::uint64_t end() const { return records_.size(); }

    std::set<std::string> evacuated() const
    {
        std::set<std::string> domains;
        for (const auto& record : records_) {
            const auto* change = std::get_if<evacuation_change>(&record);
            if (change != nullptr && change->evacuated)
                domains.insert(change->failure_domain);
            else if (change != nullptr)
                domains.erase(change->failure_domain);
        }
        return domains;
    }

    /**
     * Newest records in two pages. `between` is called after the first, which
     * has the domains below "m" and names the offset.
     */
    text_page newest(const std::function<void()>& between)
    {
        text_page page;
        page.next_offset = end();
        for (const auto& domain : evacuated()) {
            if (domain < "m")
                page.items.emplace_back(evacuation_change{domain, true});
        }
        between();
        for (const auto& domain : evacuated()) {
            if (domain >= "m")
                page.items.emplace_back(evacuation_change{domain, true});
        }
        return page;
    }

    tl::expected<text_page, directory_problem> from(std::uint64_t offset) const
    {
        if (offset < first_)
            return tl::unexpected(directory_problem::history_gone);
        text_page page;
        page.next_offset = end();
        for (auto at = offset; at < end(); ++at) {
            page.items.push_back(records_[at]);
            page.offsets.push_back(at);
        }
        return page;
    }

private:
    std::vector<configuration_text_record> records_;
    std::uint64_t first_ = 0;
};

/** A gateway's view: what it has read, whichever way. */
struct reader {
    evacuated_domains domains;
    std::optional<std::uint64_t> offset;
    /** Messages of earlier reads, which come again late. */
    std::vector<std::pair<std::string, bool>> old;
};

/** Gateways that read a directory through relays or directly. */
class relayed_evacuations
{
public:
    explicit relayed_evacuations(std::uint64_t seed) : random_(seed) {}

    /** Returns false if a gateway's state was wrong after a read. */
    bool run()
    {
        for (int step = 0; step < steps && correct_; ++step) {
            now_ += milliseconds(1000);
            act();
        }
        return correct_;
    }

private:
    static constexpr int steps = 400;

    bool one_in(unsigned count) { return random_() % count == 0; }

    void append_something()
    {
        static const std::vector<std::string> names{"a", "b", "x", "y"};
        if (one_in(3))
            log_.append(configuration_text{std::to_string(log_.end())});
        else
            log_.append(evacuation_change{names[random_() % 4], one_in(2)});
    }

    void act()
    {
        if (one_in(3))
            append_something();
        if (one_in(20))
            log_.delete_history();
        if (one_in(15))
            relays_[random_() % 2] = relay_reads(coalescer_timing());
        auto& gateway = gateways_[random_() % 3];
        if (one_in(25))
            gateway = {};
        if (one_in(4))
            deliver_old(gateway);
        else
            read(gateway);
    }

    void deliver_old(reader& gateway)
    {
        if (gateway.old.empty())
            return;
        const auto before = gateway.domains.domains();
        const auto& [bytes, whole] =
            gateway.old[random_() % gateway.old.size()];
        apply(gateway, bytes, whole);
        correct_ = correct_ && gateway.domains.domains() == before;
    }

    void apply(reader& gateway, const std::string& bytes, bool whole)
    {
        v1::DirectoryAnswer answer;
        correct_ = correct_ && answer.ParseFromString(bytes);
        const auto page = read_configurations(answer, [](std::string_view) {
            return std::optional<gateway_configuration>();
        });
        std::vector<evacuation_change> records;
        for (const auto& item : page->items)
            records.push_back(std::get<evacuation_change>(item));
        (void)gateway.domains.update(records, whole, page->next_offset);
    }

    /** Reads as often as needed to know all that the directory holds now. */
    void read(reader& gateway)
    {
        while (true) {
            const auto end = log_.end();
            const auto from = gateway.offset;
            const auto result = one_in(3) ? read_directory(from)
                                          : read_relay(random_() % 2, from);
            if (!result) {
                gateway.offset.reset();
                continue;
            }
            const auto bytes = page_bytes(*result);
            apply(gateway, bytes, !from);
            gateway.offset = result->next_offset;
            // A later read has all that was appended between two pages.
            if (log_.end() != end || result->next_offset < end)
                continue;
            correct_ =
                correct_ && gateway.domains.domains() == log_.evacuated();
            if (result->next_offset < log_.end() || !correct_)
                return;
            keep(gateway, bytes, !from);
            return;
        }
    }

    /** Only pages older than what is known may come again. */
    void keep(reader& gateway, const std::string& bytes, bool whole)
    {
        append_something();
        const auto result = log_.from(*gateway.offset);
        apply(gateway, page_bytes(*result), false);
        gateway.offset = result->next_offset;
        gateway.old.emplace_back(bytes, whole);
    }

    tl::expected<text_page, directory_problem>
    read_directory(std::optional<std::uint64_t> from)
    {
        if (from)
            return log_.from(*from);
        return log_.newest([this] {
            if (one_in(2))
                append_something();
        });
    }

    tl::expected<text_page, directory_problem>
    read_relay(std::size_t index, std::optional<std::uint64_t> from)
    {
        auto& relay = relays_[index];
        (void)relay.add_call(from, milliseconds(0), now_);
        for (int tries = 0; tries < 4; ++tries) {
            now_ += milliseconds(100);
            const auto sent = relay.begin_read(now_);
            const auto answers =
                relay.end_read(read_directory(sent.from), now_);
            if (answers.empty())
                continue;
            const auto& found = answers.front().result;
            if (!found)
                return tl::unexpected(found.error());
            return **found;
        }
        return tl::unexpected(directory_problem::unavailable);
    }

    std::mt19937_64 random_;
    time_point now_ = time_point(std::chrono::hours(1));
    record_log log_;
    std::vector<relay_reads> relays_{relay_reads(coalescer_timing()),
                                     relay_reads(coalescer_timing())};
    std::map<std::size_t, reader> gateways_;
    bool correct_ = true;
};

// Guards against an evacuation that is missed, kept, or cancelled by older
// news: gateways restart and read directly or through relays, which restart as
// well, while the directory's pages are not consistent, its history is deleted,
// and earlier answers come again.
TEST(relayed_evacuation_reads, give_what_the_directory_holds)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
        ASSERT_TRUE(relayed_evacuations(seed).run()) << "seed " << seed;
}

} // namespace
} // namespace cyclamenrun
