#ifndef CYCLAMENRUN_RELAYED_CALLS_HPP
#define CYCLAMENRUN_RELAYED_CALLS_HPP

#include "exported_metrics.hpp"
#include "link_reactor.hpp"
#include "log_event.hpp"
#include "read_coalescer.hpp"

#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace cyclamenrun
{

/** Answers gateways' calls for one feed with the reads of a read_coalescer. */
template <typename Traits>
class relayed_calls : public std::enable_shared_from_this<relayed_calls<Traits>>
{
public:
    using item = typename Traits::item;
    using result = tl::expected<directory_page<item>, directory_problem>;
    using outcome = decltype(read_coalescer<Traits>::answer::result);
    using answer_handler = std::function<void(const outcome&)>;
    using call_id = typename read_coalescer<Traits>::call_id;

    relayed_calls(std::shared_ptr<link_reactor> reactor, std::string_view name,
                  std::shared_ptr<directory_feed<item>> feed,
                  const coalescer_timing& timing, exported_metrics& metrics)
        : reactor_(std::move(reactor)), name_(name), feed_(std::move(feed)),
          coalescer_(timing), metrics_(metrics)
    {
    }

    /** Returns nothing if the call was refused; it has then been answered. */
    std::optional<call_id> add_call(std::optional<std::uint64_t> from,
                                    milliseconds wait, answer_handler on_answer)
    {
        const auto call = leaving_
                              ? std::nullopt
                              : coalescer_.add_call(from, wait, steady_now());
        if (!call) {
            on_answer(tl::unexpected(leaving_
                                         ? directory_problem::leaving
                                         : directory_problem::unavailable));
            return std::nullopt;
        }
        waiting_.emplace(*call, std::move(on_answer));
        schedule_read();
        return call;
    }

    void remove_call(call_id call)
    {
        coalescer_.remove_call(call);
        waiting_.erase(call);
    }

    /** The VM is leaving: refuses all pending and later calls. */
    void leave()
    {
        leaving_ = true;
        deliver(coalescer_.refuse_all(directory_problem::leaving));
    }

private:
    /** Time beyond its wait in which a slow directory may answer a read. */
    static constexpr milliseconds answer_timeout{1200};

    void schedule_read()
    {
        const auto due = coalescer_.next_read();
        if (!due || (timer_at_ > steady_now() && timer_at_ <= *due))
            return;
        timer_at_ = *due;
        reactor_->post_at(*due, [weak = this->weak_from_this()] {
            if (const auto self = weak.lock())
                self->read_if_due();
        });
    }

    void read_if_due()
    {
        const auto due = coalescer_.next_read();
        if (due && *due <= steady_now())
            read();
        else
            schedule_read();
    }

    void read()
    {
        const auto now = steady_now();
        const auto next = coalescer_.begin_read(now);
        read_sent_at_ = now;
        metrics_.count(exported_metric::relay_reads, {std::string(name_)});
        reactor_->post_timeout(
            reactor_->awake_deadline(*coalescer_.timeout_at()),
            [weak = this->weak_from_this()] {
                if (const auto self = weak.lock())
                    self->deliver(self->coalescer_.expire_read(steady_now()));
            });
        auto answer = [weak = this->weak_from_this()](result read) {
            if (const auto self = weak.lock())
                self->handle_result(read);
        };
        const auto deadline = now + next.wait + answer_timeout;
        if (next.from)
            feed_->read_from(*next.from, next.wait, deadline,
                             std::move(answer));
        else
            feed_->read_newest(deadline, std::move(answer));
    }

    void handle_result(const result& read)
    {
        const auto now = steady_now();
        if (read)
            record_success(*read, now - read_sent_at_);
        else
            record_failure(read.error());
        deliver(coalescer_.end_read(read, now));
        schedule_read();
    }

    void record_success(const directory_page<item>& page, duration took)
    {
        metrics_.observe(exported_metric::directory_time, {std::string(name_)},
                         took);
        if (std::exchange(lost_, false))
            log_event(log_severity::info, log_event_name::directory_regained,
                      {{log_key::name, name_}});
        if (page.unreadable.empty())
            return;
        metrics_.count(exported_metric::unreadable_records,
                       {std::string(name_)},
                       static_cast<double>(page.unreadable.size()));
        log_event(log_severity::warning, log_event_name::record_unreadable,
                  {{log_key::name, name_},
                   {log_key::count, page.unreadable.size()},
                   {log_key::detail, page.unreadable.front()}});
    }

    void record_failure(directory_problem problem)
    {
        metrics_.count(exported_metric::directory_failures,
                       {std::string(name_), std::string(name_of(problem))});
        if (problem == directory_problem::history_gone ||
            std::exchange(lost_, true))
            return;
        log_event(
            log_severity::warning, log_event_name::directory_lost,
            {{log_key::name, name_}, {log_key::reason, name_of(problem)}});
    }

    void
    deliver(const std::vector<typename read_coalescer<Traits>::answer>& all)
    {
        for (const auto& each : all) {
            const auto found = waiting_.find(each.call);
            if (found == waiting_.end())
                continue;
            const auto on_answer = std::move(found->second);
            waiting_.erase(found);
            on_answer(each.result);
        }
    }

    std::shared_ptr<link_reactor> reactor_;
    std::string_view name_;
    std::shared_ptr<directory_feed<item>> feed_;
    read_coalescer<Traits> coalescer_;
    exported_metrics& metrics_;
    std::unordered_map<call_id, answer_handler> waiting_;
    time_point timer_at_{};
    time_point read_sent_at_{};
    bool lost_ = false;
    bool leaving_ = false;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_RELAYED_CALLS_HPP
