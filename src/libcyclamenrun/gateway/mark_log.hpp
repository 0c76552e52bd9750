#ifndef CYCLAMENRUN_MARK_LOG_HPP
#define CYCLAMENRUN_MARK_LOG_HPP

#include "clock.hpp"
#include "directory_feed.hpp"

#include <functional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace cyclamenrun
{

/** A record that is kept by its key; an empty value removes the key. */
struct kept_record {
    std::string key;
    std::string value;
};

/**
 * A topic of the platform's store that keeps the newest record of each key, for
 * what must outlast all processes. One call at a time. Tests substitute one of
 * their own.
 */
class mark_log
{
public:
    using read_handler = std::function<void(
        tl::expected<std::vector<kept_record>, directory_problem>)>;
    /** `acknowledged`: the records outlast the end of any process. */
    using append_handler = std::function<void(bool acknowledged)>;

    mark_log() = default;
    mark_log(const mark_log&) = delete;
    mark_log& operator=(const mark_log&) = delete;
    virtual ~mark_log() = default;

    virtual void read_all(time_point deadline, read_handler on_read) = 0;
    /** Records that were not acknowledged may be kept all the same, or later.
     */
    virtual void append(const std::vector<kept_record>& records,
                        time_point deadline, append_handler on_appended) = 0;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_MARK_LOG_HPP
