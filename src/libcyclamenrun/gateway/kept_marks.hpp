#ifndef CYCLAMENRUN_KEPT_MARKS_HPP
#define CYCLAMENRUN_KEPT_MARKS_HPP

#include "link.pb.h"
#include "mark_key.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenrun
{

/** Time of day in Unix milliseconds. */
std::int64_t unix_now();

/** The key of a record with marks, such as `request-00c0ffee00c0ffee`. */
std::string mark_key_text(const mark_key& key);
/** Empty if the text is not the key of such a record. */
std::optional<mark_key> read_mark_key(std::string_view text);

/** The value of a record that is written at a time of day. */
std::string kept_marks_text(const std::vector<link::PoisonMark>& marks,
                            std::int64_t written_at);
/**
 * Reads a record; the marks' ages are as of the time of day that is passed.
 * Empty if it can't be read.
 */
std::optional<std::vector<link::PoisonMark>>
read_kept_marks(std::string_view bytes, std::int64_t now);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_KEPT_MARKS_HPP
