#ifndef CYCLAMENRUN_STATE_DUMP_HPP
#define CYCLAMENRUN_STATE_DUMP_HPP

#include <Poco/JSON/Object.h>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace cyclamenrun
{

/**
 * Builds a JSON dump of a process's state. Each component adds a section with
 * a writer that is called for each dump, on the thread that requests the dump.
 * Sections are written one after another, so a dump is not a consistent
 * snapshot.
 */
class state_dump
{
public:
    /** Writes one section; called without holding the lock of the dump. */
    using section_writer = std::function<void(Poco::JSON::Object&)>;

    /**
     * A section of more than `section_bytes` is replaced by a marker with its
     * size.
     */
    explicit state_dump(std::size_t section_bytes = default_section_bytes);

    void add_section(std::string name, section_writer writer);
    /** Returns a JSON object with one member for each section. */
    std::string write() const;

    static constexpr std::size_t default_section_bytes = 262144;

private:
    struct section {
        std::string name;
        section_writer writer;
    };

    const std::size_t section_bytes_;
    mutable std::mutex mutex_;
    std::vector<section> sections_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_STATE_DUMP_HPP
