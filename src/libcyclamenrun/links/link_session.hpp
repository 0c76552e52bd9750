#ifndef CYCLAMENRUN_LINK_SESSION_HPP
#define CYCLAMENRUN_LINK_SESSION_HPP

#include <nghttp2/nghttp2.h>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenrun
{

class link_connection;

/** Makes an nghttp2 session that reports its events to `connection`. */
nghttp2_session* make_client_session(link_connection& connection);
nghttp2_session* make_server_session(link_connection& connection);

/** Provider that reads a stream's data through link_connection::read_data(). */
nghttp2_data_provider data_provider();

/**
 * Makes a header field. It refers to `name` and `value`, which must stay valid
 * until nghttp2 has copied them in the submit call.
 */
nghttp2_nv header(std::string_view name, std::string_view value);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LINK_SESSION_HPP
