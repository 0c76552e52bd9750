#ifndef CYCLAMENRUN_TESTS_TOKEN_TEXT_HPP
#define CYCLAMENRUN_TESTS_TOKEN_TEXT_HPP

#include "digest.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace cyclamenrun::stand_in
{

/**
 * Returns the token that the stand-in engine generates at `index`, from 0. It
 * depends only on the prompt and the index, so a test can tell the complete
 * answer to a prompt from a truncated one, another prompt's, or a mixture of
 * both.
 */
inline std::string token_text(std::string_view prompt, std::uint64_t index)
{
    constexpr std::uint64_t words = 100000;
    return " w" + std::to_string(hash64(prompt, index) % words);
}

/** Returns the first `count` tokens of the answer. */
inline std::string answer_text(std::string_view prompt, std::uint64_t count)
{
    std::string text;
    for (std::uint64_t index = 0; index < count; ++index)
        text += token_text(prompt, index);
    return text;
}

} // namespace cyclamenrun::stand_in

#endif // CYCLAMENRUN_TESTS_TOKEN_TEXT_HPP
