#include "upstream_registry.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>
#include <string>

namespace cyclamenrun
{
namespace
{

/** A registry with a request that ends whenever its upstream is to leave. */
class random_registry
{
public:
    void apply_random_step()
    {
        now_ += milliseconds(*rc::gen::inRange(0, 3000));
        const auto id = *rc::gen::element<std::string>("a", "b", "c");
        const bool after_outage = *rc::gen::arbitrary<bool>();
        switch (*rc::gen::inRange(0, 8)) {
        case 0:
        case 1:
            registry.apply({id, random_record(id)}, now_, after_outage);
            break;
        case 2:
            registry.apply({id, std::nullopt}, now_, after_outage);
            break;
        case 3:
            registry.replace_all({{id, random_record(id)}}, now_, after_outage);
            break;
        case 4:
            registry.remove_unlisted(now_);
            break;
        case 5:
            registry.update_identity(random_address(), id, now_);
            break;
        case 6:
            registry.update_load(random_address(), random_load(), now_);
            break;
        default:
            registry.record_dispatch(id, 100, now_);
            registry.record_leaving(id);
            break;
        }
    }

    static const std::vector<ip_endpoint>& addresses()
    {
        static const std::vector<ip_endpoint> all{{"10.0.0.1", 80},
                                                  {"10.0.0.2", 80}};
        return all;
    }

    upstream_registry registry{
        {[this](const std::string& id, std::optional<time_point>) {
             registry.record_completion(id);
         },
         {},
         {},
         {}}};

private:
    static ip_endpoint random_address()
    {
        return *rc::gen::elementOf(addresses());
    }

    static engine_load random_load()
    {
        engine_load load;
        load.leaving = *rc::gen::arbitrary<bool>();
        return load;
    }

    static upstream_record random_record(const std::string& id)
    {
        upstream_record record;
        record.id = id;
        record.service = "s";
        record.address = random_address();
        record.slots = 10;
        record.started_ms = *rc::gen::inRange(1, 4);
        record.draining = *rc::gen::inRange(0, 4) == 0;
        return record;
    }

    time_point now_{std::chrono::hours(1)};
};

// Guards against a process that ends by itself: the directory and the monitors
// tell of the same upstreams in any order, and requests end meanwhile.
RC_GTEST_PROP(upstream_registry_sequences,
              leave_no_address_without_its_upstream, ())
{
    random_registry random;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
        random.apply_random_step();
        for (const auto& address : random_registry::addresses()) {
            const auto* found = random.registry.find_at(address);
            const bool is_there =
                found == nullptr || found->record.address == address;
            RC_ASSERT(is_there);
        }
    }
}

} // namespace
} // namespace cyclamenrun
