#ifndef CYCLAMENRUN_DIRECTORY_NEWS_HPP
#define CYCLAMENRUN_DIRECTORY_NEWS_HPP

#include "directory_feed.hpp"
#include "upstream_board.hpp"

#include <cstdint>
#include <string_view>
#include <tl/expected.hpp>

namespace cyclamenrun::v1
{
class DirectoryNews;
} // namespace cyclamenrun::v1

namespace cyclamenrun
{

/** Records of the directory that one gateway has read and tells others. */
struct directory_news {
    std::uint64_t from = 0; ///< offset of the first record that was read
    directory_page<upstream_change> page;
};

enum class news_problem : std::uint8_t {
    offsets, ///< They are not in order, or not between first and last.
    record,  ///< An upstream without an id, or at no address.
};

std::string_view name_of(news_problem problem);

/**
 * What others need to know of a page: most records are heartbeats that repeat
 * what the board has already. To be called before the board takes the page.
 */
directory_news news_of(std::uint64_t from,
                       const directory_page<upstream_change>& page,
                       const upstream_board& board);

v1::DirectoryNews message_of(const directory_news& news);
/** Whatever a stranger sends, what is read can be taken. */
tl::expected<directory_news, news_problem>
read_news(const v1::DirectoryNews& message);

/**
 * Longer news is not passed on, so that it is one packet; the others then read
 * the directory themselves.
 */
inline constexpr std::size_t most_news_bytes = 1200;

} // namespace cyclamenrun

#endif // CYCLAMENRUN_DIRECTORY_NEWS_HPP
