#ifndef CYCLAMENRUN_TOMBSTONES_HPP
#define CYCLAMENRUN_TOMBSTONES_HPP

#include "clock.hpp"

#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cyclamenrun
{

/**
 * Ids of work that must never start, each kept until its deadline.
 *
 * Guards against a dispatch that a stalled link delivers after its caller has
 * been told not_run: the late copy finds its id here and is refused. The set
 * is bounded by refusing to take more, never by forgetting early, since an id
 * forgotten early would let the late copy run.
 */
class tombstones
{
public:
    explicit tombstones(std::size_t capacity) : capacity_(capacity) {}

    /** False if the set is full: then not_run must not be said. */
    bool add(const std::string& id, time_point deadline, time_point now);

    bool contains(const std::string& id, time_point now) const;
    std::size_t size() const { return deadlines_.size(); }

private:
    void forget_expired(time_point now);

    std::size_t capacity_;
    std::unordered_map<std::string, time_point> deadlines_;
    std::deque<std::string> oldest_first_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_TOMBSTONES_HPP
