#ifndef CYCLAMENRUN_SPARE_DESCRIPTOR_HPP
#define CYCLAMENRUN_SPARE_DESCRIPTOR_HPP

#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace cyclamenrun
{

/** An open file that is closed when a descriptor is needed and none is free. */
class spare_descriptor
{
public:
    spare_descriptor() = default;
    spare_descriptor(const spare_descriptor&) = delete;
    spare_descriptor& operator=(const spare_descriptor&) = delete;
    ~spare_descriptor() { close(); }

    /** Opens the file if it is closed; it stays closed if none is free. */
    void open()
    {
        if (descriptor_ < 0)
            descriptor_ = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
    }
    /** Returns false if there was none. */
    bool close()
    {
        if (descriptor_ < 0)
            return false;
        ::close(std::exchange(descriptor_, -1));
        return true;
    }

private:
    int descriptor_ = -1;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SPARE_DESCRIPTOR_HPP
