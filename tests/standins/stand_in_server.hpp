#ifndef CYCLAMENRUN_TESTS_STAND_IN_SERVER_HPP
#define CYCLAMENRUN_TESTS_STAND_IN_SERVER_HPP

#include "http_json.hpp"

#include <CLI/CLI.hpp>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>
#include <charconv>
#include <csignal>
#include <functional>
#include <iostream>
#include <pthread.h>
#include <string>
#include <utility>

namespace cyclamenrun::stand_in
{

using server_request = Poco::Net::HTTPServerRequest;
using server_response = Poco::Net::HTTPServerResponse;
using handle_function =
    std::function<void(server_request& request, server_response& response)>;

/** Passes a request to a function; an exception closes the connection. */
class function_handler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit function_handler(const handle_function& handle) : handle_(handle)
    {
    }

    void handleRequest(server_request& request,
                       server_response& response) override
    {
        try {
            handle_(request, response);
        } catch (const std::exception&) {
            response.setKeepAlive(false);
        }
    }

private:
    const handle_function& handle_;
};

class function_handler_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit function_handler_factory(handle_function handle)
        : handle_(std::move(handle))
    {
    }

    Poco::Net::HTTPRequestHandler*
    createRequestHandler(const server_request&) override
    {
        return new function_handler(handle_);
    }

private:
    handle_function handle_;
};

/** An HTTP server whose handlers may block. */
class server
{
public:
    /**
     * Blocks the stop signals. Must run before the first thread starts: every
     * thread inherits the mask, so only sigwait() receives them.
     */
    server()
    {
        sigemptyset(&signals_);
        sigaddset(&signals_, SIGTERM);
        sigaddset(&signals_, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
        std::signal(SIGPIPE, SIG_IGN);
    }

    /**
     * Prints the address, serves HTTP until SIGTERM or SIGINT, then calls
     * `stop`, which must end all waits in handlers. Returns the exit status.
     */
    int run(const std::string& listen, handle_function handle,
            const std::function<void()>& stop)
    {
        constexpr int max_threads = 1200;
        constexpr int backlog = 1024;
        Poco::ThreadPool pool(4, max_threads);
        Poco::Net::ServerSocket socket(Poco::Net::SocketAddress(listen),
                                       backlog);
        auto* params = new Poco::Net::HTTPServerParams;
        params->setMaxThreads(max_threads);
        params->setMaxQueued(max_threads);
        params->setTimeout(Poco::Timespan(30, 0));
        params->setKeepAliveTimeout(Poco::Timespan(5, 0));
        Poco::Net::HTTPServer http(
            new function_handler_factory(std::move(handle)), pool, socket,
            params);
        http.start();
        std::cout << "listening " << socket.address().toString() << std::endl;
        int received = 0;
        sigwait(&signals_, &received);
        stop();
        http.stopAll(true);
        pool.joinAll();
        return 0;
    }

private:
    sigset_t signals_{};
};

inline void answer(server_response& response, int status,
                   const std::string& body,
                   const std::string& type = "application/json")
{
    response.setStatus(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status)));
    response.setContentType(type);
    response.sendBuffer(body.data(), body.size());
}

/** Sends an answer that ends with the connection. */
inline void answer_unframed(server_response& response, int status,
                            const std::string& body)
{
    response.setStatus(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setContentType("application/json");
    response.setKeepAlive(false);
    response.send() << body << std::flush;
}

inline std::string body_of(server_request& request)
{
    std::string body;
    Poco::StreamCopier::copyToString(request.stream(), body);
    return body;
}

/** Parses a decimal number; 0 if the text has none. */
inline std::uint64_t number_of(const std::string& text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

/** A number from the query string; 0 if it is absent. */
inline std::uint64_t query_number(const server_request& request,
                                  const std::string& name)
{
    for (const auto& [key, value] :
         Poco::URI(request.getURI()).getQueryParameters()) {
        if (key == name)
            return number_of(value);
    }
    return 0;
}

inline std::string path_of(const server_request& request)
{
    return Poco::URI(request.getURI()).getPath();
}

/** Returns true once the caller has closed its side. */
inline bool caller_disconnected(server_request& request)
{
    auto& socket =
        static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
    return socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ) &&
           socket.available() == 0;
}

/** Closes the connection without an answer. */
inline void close_unanswered(server_request& request)
{
    static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket().shutdown();
}

} // namespace cyclamenrun::stand_in

#endif // CYCLAMENRUN_TESTS_STAND_IN_SERVER_HPP
