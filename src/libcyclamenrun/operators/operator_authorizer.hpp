#ifndef CYCLAMENRUN_OPERATOR_AUTHORIZER_HPP
#define CYCLAMENRUN_OPERATOR_AUTHORIZER_HPP

#include "key_hash.hpp"

#include <string_view>
#include <vector>

namespace cyclamenrun
{

/** Knows the few keys that operators may use. Constant, so shared freely. */
class operator_authorizer
{
public:
    explicit operator_authorizer(std::vector<key_hash> keys);

    /** `authorization` is the value of the header. */
    bool operator()(std::string_view authorization) const;

private:
    std::vector<key_hash> keys_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_OPERATOR_AUTHORIZER_HPP
