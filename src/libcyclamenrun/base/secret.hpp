#ifndef CYCLAMENRUN_SECRET_HPP
#define CYCLAMENRUN_SECRET_HPP

#include <ostream>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/**
 * A key that prints as `***`, so that it is not disclosed when it is written
 * to a log event, a state dump or the message of a failed test. The key is
 * read by reveal() only, which makes all uses easy to find.
 */
class secret
{
public:
    secret() = default;
    explicit secret(std::string bytes) : bytes_(std::move(bytes)) {}

    const std::string& reveal() const { return bytes_; }
    bool empty() const { return bytes_.empty(); }
    std::size_t size() const { return bytes_.size(); }

private:
    std::string bytes_;
};

/** Printed in place of a key. */
inline constexpr std::string_view hidden_secret = "***";

inline std::ostream& operator<<(std::ostream& stream, const secret&)
{
    return stream << hidden_secret;
}

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SECRET_HPP
