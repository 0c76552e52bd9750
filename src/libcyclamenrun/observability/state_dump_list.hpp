#ifndef CYCLAMENRUN_STATE_DUMP_LIST_HPP
#define CYCLAMENRUN_STATE_DUMP_LIST_HPP

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <string>

namespace cyclamenrun
{

/**
 * A list in a state dump that contains the first items and the total count, so
 * that the dump of a busy process stays readable and bounded.
 */
class state_dump_list
{
public:
    explicit state_dump_list(std::size_t max_shown = default_max_shown);

    /**
     * Whether a further item would be shown; if not, the caller can skip
     * building it.
     */
    bool shows_more() const { return items_->size() < max_shown_; }
    void add(const Poco::JSON::Object& item);
    /** Counts an item without showing it. */
    void count() { ++total_; }

    /** Writes `NAME: {"total": N, "items": [...]}` into `object`. */
    void write(Poco::JSON::Object& object, const std::string& name) const;

    static constexpr std::size_t default_max_shown = 200;

private:
    const std::size_t max_shown_;
    std::size_t total_ = 0;
    Poco::JSON::Array::Ptr items_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_STATE_DUMP_LIST_HPP
