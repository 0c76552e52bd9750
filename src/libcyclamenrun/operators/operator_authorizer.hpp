#ifndef CYCLAMENRUN_OPERATOR_AUTHORIZER_HPP
#define CYCLAMENRUN_OPERATOR_AUTHORIZER_HPP

#include "key_hash.hpp"

#include <string_view>
#include <vector>

namespace cyclamenrun
{

/** Checks the keys of operators. Immutable, so threads may share it. */
class operator_authorizer
{
public:
    explicit operator_authorizer(std::vector<key_hash> keys);

    /** Returns whether an `Authorization` header contains a valid key. */
    bool operator()(std::string_view authorization) const;

private:
    std::vector<key_hash> keys_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_OPERATOR_AUTHORIZER_HPP
