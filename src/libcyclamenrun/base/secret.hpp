#ifndef CYCLAMENRUN_SECRET_HPP
#define CYCLAMENRUN_SECRET_HPP

#include <ostream>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/**
 * A key. It prints as `***`, so that a key which ends up in a log event, a
 * dump or a message of a failed test does not show; reading it takes a call
 * that can be searched for.
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

/** What stands in the place of a key wherever something is printed. */
inline constexpr std::string_view hidden_secret = "***";

inline std::ostream& operator<<(std::ostream& stream, const secret&)
{
    return stream << hidden_secret;
}

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SECRET_HPP
