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
 * Ids of requests that must never start, each kept until its deadline.
 *
 * Guards against a dispatch that a stalled link delivers after its caller has
 * received a not_run refusal: the delayed copy's id is found here and the copy
 * is refused. A full set rejects new ids and never evicts one before its
 * deadline, because that would allow the delayed copy to run.
 */
class tombstones
{
public:
    explicit tombstones(std::size_t capacity) : capacity_(capacity) {}

    /** Returns false if the set is full: not_run must not be reported then. */
    bool add(const std::string& id, time_point deadline, time_point now);

    bool contains(const std::string& id, time_point now) const;
    std::size_t size() const { return deadlines_.size(); }

private:
    void remove_expired(time_point now);

    std::size_t capacity_;
    std::unordered_map<std::string, time_point> deadlines_;
    std::deque<std::string> oldest_first_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_TOMBSTONES_HPP
