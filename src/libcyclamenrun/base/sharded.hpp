#ifndef CYCLAMENRUN_SHARDED_HPP
#define CYCLAMENRUN_SHARDED_HPP

#include "digest.hpp"

#include <functional>
#include <memory>
#include <mutex>
#include <string_view>
#include <vector>

namespace cyclamenrun
{

/**
 * State that is split into shards by the hash of a key. Each shard has its own
 * lock, which reduces contention between threads that serve different keys.
 */
template <typename State>
class sharded
{
public:
    using state_factory =
        std::function<std::unique_ptr<State>(std::size_t shard)>;

    sharded(std::size_t count, const state_factory& make)
    {
        for (std::size_t i = 0; i < count; ++i)
            shards_.push_back(std::make_unique<shard>(make(i)));
    }

    /** Calls `use` with the state of the key's shard, under its lock. */
    template <typename Use>
    auto with(std::string_view key, Use use)
    {
        auto& selected = *shards_[hash64(key) % shards_.size()];
        const std::scoped_lock lock(selected.mutex);
        return use(*selected.state);
    }

    /** Calls `use` with the state of each shard in turn, under its lock. */
    template <typename Use>
    void with_each(Use use)
    {
        for (const auto& each : shards_) {
            const std::scoped_lock lock(each->mutex);
            use(*each->state);
        }
    }

private:
    struct shard {
        explicit shard(std::unique_ptr<State> initial_state)
            : state(std::move(initial_state))
        {
        }
        std::mutex mutex;
        std::unique_ptr<State> state;
    };

    std::vector<std::unique_ptr<shard>> shards_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SHARDED_HPP
