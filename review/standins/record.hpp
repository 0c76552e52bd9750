#ifndef REVIEW_RECORD_HPP
#define REVIEW_RECORD_HPP

#include "net.hpp"

#include <cstdio>

namespace review
{

/** Writes what happened, with the seconds since the start, to a file. */
class record
{
public:
    explicit record(const std::string& path)
        : file_(std::fopen(path.c_str(), "w")), began_(clock_type::now())
    {
        if (file_ == nullptr)
            throw std::runtime_error("cannot write " + path);
    }
    ~record() { std::fclose(file_); }
    record(const record&) = delete;
    record& operator=(const record&) = delete;

    void write(const std::string& line)
    {
        const std::scoped_lock lock(mutex_);
        std::fprintf(file_, "%8.3f %s\n",
                     std::chrono::duration<double>(clock_type::now() - began_)
                         .count(),
                     line.c_str());
        std::fflush(file_);
    }

private:
    std::mutex mutex_;
    std::FILE* file_;
    time_point began_;
};

} // namespace review

#endif
