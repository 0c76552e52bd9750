#ifndef CYCLAMENRUN_REQUEST_STORY_HPP
#define CYCLAMENRUN_REQUEST_STORY_HPP

#include "log_record.hpp"

#include <iosfwd>
#include <set>
#include <string>
#include <vector>

namespace cyclamenrun
{

/**
 * What the logs say of one request: the lines that carry its id, in their
 * order over all processes, what each of these processes believed when the
 * request came, and what they came to believe while it was served.
 */
class request_story
{
public:
    explicit request_story(std::string request_id)
        : request_id_(std::move(request_id))
    {
    }

    /** Takes one line of a log; lines may come in any order. */
    void take(const std::string& line);

    /** No line carries the id. */
    bool empty() const { return steps_.empty(); }
    void print(std::ostream& to);

private:
    void sort();
    std::set<std::string> processes() const;
    std::set<std::string> upstreams() const;
    void print_beliefs(std::ostream& to, const std::string& process) const;
    void print_steps(std::ostream& to) const;

    std::string request_id_;
    std::vector<log_record> steps_;
    /** Of all processes, whether they served the request or not. */
    std::vector<log_record> beliefs_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_REQUEST_STORY_HPP
