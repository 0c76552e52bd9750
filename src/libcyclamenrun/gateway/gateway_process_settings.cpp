#include "gateway_process.hpp"
#include "log_event.hpp"

namespace cyclamenrun
{

namespace
{

/** Interval at which the settings file is checked for changes. */
constexpr milliseconds settings_check_interval{1000};

} // namespace

void gateway_process::check_settings()
{
    const auto now = context_->reactor->now();
    if (now < next_settings_check_)
        return;
    next_settings_check_ = now + settings_check_interval;
    // A file that can't be parsed may be half written: it is read again later.
    const auto read = read_settings_();
    if (!read || *read == settings_)
        return;
    apply_settings(*read);
    log_event(log_severity::info, log_event_name::settings_reloaded);
}

void gateway_process::reload()
{
    const auto read = read_settings_();
    if (!read) {
        for (const auto& error : read.error())
            log_event(log_severity::error, log_event_name::settings_unusable,
                      {{log_key::detail, to_string(error)}});
        return;
    }
    on_loop([&] { apply_settings(*read); });
    log_event(log_severity::info, log_event_name::settings_reloaded);
}

void gateway_process::apply_settings(const gateway_settings& settings)
{
    const bool directory_changed = settings.directory != settings_.directory;
    settings_ = settings;
    context_->log_every_step = settings_.log_every_step;
    if (directory_changed)
        directory_->follow(settings_);
}

} // namespace cyclamenrun
