#include "mark_keeper.hpp"

#include "kept_marks.hpp"
#include "peers.pb.h"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

namespace
{

/** Gateways that have seen the same loss exchange it before one writes it. */
constexpr milliseconds min_write_interval{100};
/** The same for each gateway, so that all together write a bounded rate. */
constexpr milliseconds write_interval_of_gateway{10};
constexpr milliseconds call_timeout{2000};
constexpr milliseconds first_retry_delay{200};
constexpr milliseconds max_retry_delay{5000};
/** Longest time after which a call without an answer may be executed. */
constexpr milliseconds max_execution_delay{10'000};
/** Longest wait of requests for the marks that were kept. */
constexpr milliseconds max_read_wait{1000};
constexpr milliseconds expiry_check_interval{10'000};
/** All gateways remove an expired record, each at another time. */
constexpr double expiry_probability = 0.05;
/** Records of one call, of some hundred bytes each. */
constexpr std::size_t max_records = 256;

} // namespace

mark_keeper::mark_keeper(std::shared_ptr<link_reactor> reactor,
                         std::shared_ptr<mark_log> log, poison_guard& marks,
                         std::mt19937_64& random, hooks on)
    : reactor_(std::move(reactor)), log_(std::move(log)), marks_(marks),
      random_(random), on_(std::move(on))
{
}

void mark_keeper::start()
{
    known_by_ = reactor_->now() + max_read_wait;
    read();
}

void mark_keeper::read()
{
    log_->read_all(
        reactor_->now() + call_timeout, [weak = weak_from_this()](auto read) {
            const auto self = weak.lock();
            if (!self)
                return;
            if (read) {
                self->handle_records(*read);
                return;
            }
            self->retry_delay_ = std::clamp(self->retry_delay_ * 2,
                                            first_retry_delay, max_retry_delay);
            self->reactor_->post_at(self->reactor_->now() + self->retry_delay_,
                                    [weak] {
                                        if (const auto waiting = weak.lock())
                                            waiting->read();
                                    });
        });
}

void mark_keeper::handle_records(const std::vector<kept_record>& records)
{
    std::size_t unreadable = 0;
    v1::PeerMessage marks;
    for (const auto& record : records) {
        const auto key = read_mark_key(record.key);
        const auto kept =
            key ? read_kept_marks(record.value, unix_now()) : std::nullopt;
        if (!kept) {
            ++unreadable;
            continue;
        }
        kept_.insert(*key);
        for (const auto& mark : *kept)
            *marks.add_marks() = mark;
    }
    marks_.merge(marks, reactor_->now());
    known_ = true;
    retry_delay_ = {};
    on_.read(records.size() - unreadable, unreadable);
    schedule_write(write_interval());
}

void mark_keeper::record_change(const std::vector<mark_key>& changed)
{
    changed_.insert(changed.begin(), changed.end());
    schedule_write(write_interval());
}

milliseconds mark_keeper::write_interval() const
{
    const auto share =
        write_interval_of_gateway * static_cast<std::int64_t>(on_.gateways());
    return std::max(min_write_interval, share);
}

void mark_keeper::schedule_write(milliseconds delay)
{
    if (!known_ || changed_.empty() || std::exchange(write_pending_, true))
        return;
    reactor_->post_at(reactor_->now() + delay, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->write();
    });
}

void mark_keeper::write()
{
    std::vector<mark_key> keys;
    std::vector<kept_record> records;
    while (!changed_.empty() && records.size() < max_records) {
        const auto key = *changed_.begin();
        changed_.erase(changed_.begin());
        const auto marks = marks_.lasting_marks(key, reactor_->now());
        // What was cleared before it was written needs no record.
        if (marks.empty() && !kept_.contains(key))
            continue;
        keys.push_back(key);
        records.push_back(
            {mark_key_text(key),
             marks.empty() ? "" : kept_marks_text(marks, unix_now())});
    }
    if (records.empty()) {
        write_pending_ = false;
        return;
    }
    kept_.insert(keys.begin(), keys.end());
    log_->append(records, reactor_->now() + call_timeout,
                 [weak = weak_from_this(), keys, records](bool acknowledged) {
                     if (const auto self = weak.lock())
                         self->handle_written(keys, records, acknowledged);
                 });
}

void mark_keeper::handle_written(const std::vector<mark_key>& keys,
                                 const std::vector<kept_record>& records,
                                 bool acknowledged)
{
    on_.written(acknowledged);
    write_pending_ = false;
    if (acknowledged) {
        retry_delay_ = {};
        for (std::size_t i = 0; i < keys.size(); ++i)
            if (records[i].value.empty())
                kept_.erase(keys[i]);
        schedule_write(write_interval());
        return;
    }
    changed_.insert(keys.begin(), keys.end());
    retry_delay_ =
        std::clamp(retry_delay_ * 2, first_retry_delay, max_retry_delay);
    schedule_write(retry_delay_);
    reactor_->post_at(reactor_->now() + max_execution_delay,
                      [weak = weak_from_this(), keys] {
                          if (const auto self = weak.lock())
                              self->record_change(keys);
                      });
}

void mark_keeper::tick(time_point now)
{
    if (now < next_expiry_check_)
        return;
    next_expiry_check_ = now + expiry_check_interval;
    std::bernoulli_distribution is_due(expiry_probability);
    std::vector<mark_key> expired;
    for (const auto& key : kept_)
        if (marks_.lasting_marks(key, now).empty() && is_due(random_))
            expired.push_back(key);
    if (!expired.empty())
        record_change(expired);
}

} // namespace cyclamenrun
