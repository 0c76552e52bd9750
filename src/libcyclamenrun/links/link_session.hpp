#ifndef CYCLAMENRUN_LINK_SESSION_HPP
#define CYCLAMENRUN_LINK_SESSION_HPP

#include <nghttp2/nghttp2.h>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenrun
{

class link_connection;

/** Makes nghttp2 sessions whose events go to a link_connection. */
nghttp2_session* make_client_session(link_connection& connection);
nghttp2_session* make_server_session(link_connection& connection);

/** Reads a stream's data by link_connection::read_data(). */
nghttp2_data_provider data_provider();

/** A header whose name and value outlive the submit that copies them. */
nghttp2_nv header(std::string_view name, std::string_view value);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LINK_SESSION_HPP
