#include "program_soak.hpp"

// What disturbs the programs of a soak, and how they end.

namespace cyclamenrun::testing_support
{

void program_soak::disturb()
{
    if (mode_ == soak_mode::planned) {
        disturb_planned();
        return;
    }
    const auto index = static_cast<std::size_t>(draw(random_, gateways));
    const auto delay = milliseconds(20 + draw(random_, 500));
    const auto start_again = [this, index] { restart(index); };
    switch (draw(random_, 6)) {
    case 0:
        kill(index, SIGKILL);
        later(delay, start_again);
        return;
    case 1: // killed during its stop
        stop(index);
        programs_.at(index).process->signal(SIGTERM);
        later(delay, start_again);
        return;
    case 2: // killed while it is paused
        programs_.at(index).process->signal(SIGSTOP);
        later(delay, start_again);
        return;
    case 3:
        kill(index, SIGABRT);
        later(delay, start_again);
        return;
    default:
        disturb_planned();
        return;
    }
}

void program_soak::disturb_planned()
{
    const auto index = static_cast<std::size_t>(draw(random_, gateways));
    const auto delay = milliseconds(20 + draw(random_, 500));
    switch (draw(random_, 9)) {
    case 0:
        stop(index);
        later(delay, [this, index] { restart_after_stop(index); });
        return;
    case 1: // signals come in series
        stop(index);
        programs_.at(index).process->signal(SIGHUP);
        programs_.at(index).process->signal(SIGTERM);
        later(delay, [this, index] { restart_after_stop(index); });
        return;
    case 2:
        pause(index, delay);
        return;
    case 3: // paused in its stop, while idle connections are closed
        stop(index);
        later(milliseconds(draw(random_, 40)),
              [this, index, delay] { pause(index, delay); });
        later(delay, [this, index] { restart_after_stop(index); });
        return;
    case 4:
        slow_down(index, 4 * delay);
        return;
    case 5:
        reload(index);
        publish_configuration();
        return;
    case 6:
        release();
        return;
    case 7:
        list("i-new", newer_, "v2", "ready");
        return;
    default:
        list("i-new", newer_, "v2", "draining");
        later(delay, [this] { store_.put("keyed.servers", "i-new", ""); });
        return;
    }
}

void program_soak::wait(milliseconds time)
{
    constexpr milliseconds step{2};
    const auto end = steady_now() + time;
    while (steady_now() < end) {
        run_due_actions();
        std::this_thread::sleep_for(step);
    }
}

void program_soak::kill(std::size_t index, int signal)
{
    auto& each = programs_.at(index);
    {
        const std::scoped_lock lock(mutex_);
        auto& life = lives_[each.address];
        if (!life.killed && !each.process->end_status())
            life.killed = steady_now();
    }
    each.process->signal(signal);
}

void program_soak::stop(std::size_t index)
{
    auto& each = programs_.at(index);
    {
        const std::scoped_lock lock(mutex_);
        auto& life = lives_[each.address];
        if (!life.stop_sent)
            life.stop_sent = steady_now();
    }
    each.process->signal(SIGTERM);
}

void program_soak::restart_after_stop(std::size_t index)
{
    constexpr milliseconds check_interval{50};
    auto& each = programs_.at(index);
    const auto& life = lives_[each.address];
    // Another disturbance may have started it again.
    if (!life.stop_sent)
        return;
    const bool overruns = steady_now() > *life.stop_sent + stop_grace;
    if (overruns && !each.process->end_status())
        violate("a program runs at the end of its grace");
    if (overruns || each.process->end_status())
        restart(index);
    else
        later(check_interval, [this, index] { restart_after_stop(index); });
}

void program_soak::restart(std::size_t index)
{
    judge_end(index);
    kill(index, SIGKILL);
    programs_.at(index).process->signal(SIGCONT);
    start(index);
}

void program_soak::pause(std::size_t index, milliseconds time)
{
    const auto signal = [this, index](int number) {
        programs_.at(index).process->signal(number);
    };
    signal(SIGSTOP);
    later(time, [signal] { signal(SIGCONT); });
}

void program_soak::slow_down(std::size_t index, milliseconds time)
{
    constexpr milliseconds period{100};
    constexpr milliseconds running{10};
    const auto signal = [this, index](int number) {
        programs_.at(index).process->signal(number);
    };
    for (milliseconds at{0}; at < time; at += period) {
        later(at, [signal] { signal(SIGSTOP); });
        later(at + period - running, [signal] { signal(SIGCONT); });
    }
}

void program_soak::reload(std::size_t index)
{
    auto& each = programs_.at(index);
    each.settings->write("# " + std::to_string(random_()) + "\n" +
                         each.settings_text);
    each.process->signal(SIGHUP);
}

void program_soak::release()
{
    const auto old_id = "i-" + std::to_string(last_release_);
    list(old_id, second_, "v1", "draining");
    const auto new_id = "i-" + std::to_string(++last_release_);
    later(milliseconds(400), [this, old_id, new_id] {
        store_.put("keyed.servers", old_id, "");
        list(new_id, second_, "v1", "ready");
    });
}

void program_soak::judge_end(std::size_t index)
{
    const auto& each = programs_.at(index);
    const auto status = each.process->end_status();
    const auto log = each.process->output();
    const auto errors = each.process->errors();
    const std::scoped_lock lock(mutex_);
    const auto& life = lives_[each.address];
    // In planned work a drain has time for all that runs.
    const bool orderly =
        status == 0 || (mode_ == soak_mode::all && status == 5);
    if (status && !life.killed && !(life.stop_sent && orderly))
        report_.violations.push_back(
            "a program ended by itself: " + std::to_string(*status) + errors);
    if (errors.find("Sanitizer") != std::string::npos ||
        errors.find("runtime error") != std::string::npos)
        report_.violations.push_back(errors);
    const std::string event = "\"event\":\"request_dropped\"";
    for (std::size_t at = 0; (at = log.find(event, at)) != std::string::npos;
         ++at)
        ++report_.dropped;
}

} // namespace cyclamenrun::testing_support
