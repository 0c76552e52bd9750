#include "log_tailer.hpp"

#include "configuration_store.hpp"

#include <algorithm>

namespace cyclamenrun
{

namespace
{

/**
 * Returns the delay after a number of consecutive failures: exponential, with
 * uniform jitter over its upper half.
 */
milliseconds backoff(const tail_settings& settings, std::uint32_t failures,
                     double random)
{
    const auto doublings = std::min<std::uint32_t>(failures, 16) - 1;
    const auto max_delay = std::min(settings.max_backoff,
                                    settings.first_backoff * (1 << doublings));
    return max_delay / 2 +
           milliseconds(static_cast<std::int64_t>(
               random * static_cast<double>(max_delay.count()) / 2));
}

} // namespace

log_tailer::log_tailer(platform_log& log, configuration_store& store,
                       tail_settings settings, clock_function clock,
                       random_function random)
    : log_(log), settings_(settings), clock_(std::move(clock)),
      random_(std::move(random)), cursor_(store)
{
}

log_tailer::~log_tailer()
{
    stop();
}

void log_tailer::set_snapshot_writer(std::shared_ptr<snapshot_writer> writer)
{
    writer_ = std::move(writer);
    cursor_.on_snapshot(
        [this](std::uint64_t next_offset, std::uint64_t offset) {
            writer_->on_snapshot(next_offset, offset, clock_());
        });
}

void log_tailer::start()
{
    thread_ = std::thread([this] { run(); });
}

void log_tailer::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    stop_signal_.notify_all();
    if (thread_.joinable())
        thread_.join();
}

void log_tailer::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        lock.unlock();
        // Until it has seen the end of the log, a new process does not wait
        // for new records: if none arrived, it would stay unready for the
        // whole wait.
        const milliseconds pause =
            read_once(end_seen_ ? settings_.read_wait : milliseconds(0));
        lock.lock();
        stop_signal_.wait_for(lock, pause, [this] { return stopping_; });
    }
}

milliseconds log_tailer::read_once(milliseconds wait)
{
    const time_point read_started_at = clock_();
    const auto page = log_.read(cursor_.next(), settings_.page_records, wait);
    if (!page) {
        const milliseconds pause = on_error(page.error());
        report_read_problem();
        return pause;
    }
    on_page(*page);
    if (cursor_.state() == tail_state::behind_gap)
        report_read_problem();
    // Avoids a busy loop if the log returns an empty page without waiting.
    const bool returned_early = clock_() < read_started_at + wait / 2;
    return page->records.empty() && returned_early ? settings_.first_backoff
                                                   : milliseconds(0);
}

void log_tailer::report_read_problem() const
{
    if (read_problem_hook_)
        read_problem_hook_(status());
}

void log_tailer::on_page(const log_page& page)
{
    record_first_end(page.next);
    cursor_.handle(page);
    if (writer_)
        writer_->poll(cursor_, clock_());
    const std::lock_guard lock(mutex_);
    status_.state = cursor_.state();
    status_.first_retained = cursor_.first_retained();
    status_.end = cursor_.end();
    status_.gaps = cursor_.gaps();
    status_.incomplete_pages = cursor_.incomplete_pages();
    status_.failures_in_a_row = 0;
}

milliseconds log_tailer::on_error(const log_error& error)
{
    cursor_.handle(error);
    const std::lock_guard lock(mutex_);
    status_.state = cursor_.state();
    status_.first_retained = cursor_.first_retained();
    status_.gaps = cursor_.gaps();
    if (error.failure == log_failure::retained_away)
        return settings_.first_backoff;
    ++status_.failures;
    ++status_.failures_in_a_row;
    return std::max(error.retry_after,
                    backoff(settings_, status_.failures_in_a_row, random_()));
}

void log_tailer::record_first_end(std::uint64_t end)
{
    if (end_seen_)
        return;
    end_seen_ = true;
    if (writer_)
        writer_->set_initial_log_end(end);
}

tail_status log_tailer::status() const
{
    const std::lock_guard lock(mutex_);
    return status_;
}

} // namespace cyclamenrun
