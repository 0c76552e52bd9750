#include "monitor_process.hpp"

namespace cyclamenrun
{

monitor_process::monitor_process(const monitor_settings& settings,
                                 std::shared_ptr<const gateway_dialect> dialect)
    : teller_(std::make_shared<load_teller>(
          loop_.reactor(), std::move(dialect),
          load_teller_settings{settings.engine, settings.listen,
                               settings.interval}))
{
    loop_.post([teller = teller_] { teller->start(); });
}

std::string monitor_process::address() const
{
    return to_string(teller_->address());
}

} // namespace cyclamenrun
