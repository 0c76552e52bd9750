#include "fake_entry.hpp"

#include "key_hash.hpp"
#include "operator_authorizer.hpp"
#include "request_deadline_listener.hpp"
#include "resource_file.hpp"
#include "rpc_http_handler.hpp"

#include <Poco/Net/HTTPRequestHandlerFactory.h>

namespace cyclamenrun
{

namespace
{

constexpr std::size_t max_body_bytes = 4096;
constexpr milliseconds request_timeout{20000};

class handler_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit handler_factory(std::shared_ptr<const rpc_router> router)
        : router_(std::move(router))
    {
    }

    Poco::Net::HTTPRequestHandler*
    createRequestHandler(const Poco::Net::HTTPServerRequest&) override
    {
        return new rpc_http_handler(router_, max_body_bytes);
    }

private:
    std::shared_ptr<const rpc_router> router_;
};

} // namespace

fake_entry::fake_entry() : key_(make_key())
{
    const std::string commands = "cyclamenrun.v1.CommandService";
    const std::string queries = "cyclamenrun.v1.QueryService";
    auto router = std::make_shared<rpc_router>(
        operator_authorizer({make_key_hash(key_)}));
    router->add_method<v1::ApplyChangeRequest, v1::ApplyChangeResponse>(
        commands, "ApplyChange", [this](const v1::ApplyChangeRequest& request) {
            return apply(request);
        });
    router->add_method<v1::FindChangeRequest, v1::FindChangeResponse>(
        queries, "FindChange",
        [this](const v1::FindChangeRequest& request) { return find(request); });
    router->add_method<v1::ListResourcesRequest, v1::ListResourcesResponse>(
        queries, "ListResources",
        [this](const v1::ListResourcesRequest& request) {
            return list(request);
        });
    router->add_method<v1::ListRevisionsRequest, v1::ListRevisionsResponse>(
        queries, "ListRevisions",
        [this](const v1::ListRevisionsRequest&) { return revisions(); });
    server_ = std::make_unique<Poco::Net::HTTPServer>(
        new handler_factory(std::move(router)), threads_,
        listen_with_deadline({"127.0.0.1", 0}, request_timeout),
        new Poco::Net::HTTPServerParams);
    server_->start();
}

fake_entry::~fake_entry()
{
    server_->stopAll(true);
    threads_.joinAll();
}

ip_endpoint fake_entry::address() const
{
    return {"127.0.0.1", server_->port()};
}

void fake_entry::answer_unknown(int count)
{
    const std::lock_guard lock(mutex_);
    unknown_answers_ = count;
}

void fake_entry::change_before_next_apply(const v1::Resource& resource)
{
    const std::lock_guard lock(mutex_);
    concurrent_change_ = std::make_unique<v1::Resource>(resource);
}

int fake_entry::records() const
{
    const std::lock_guard lock(mutex_);
    return record_count_;
}

std::uint64_t fake_entry::revision_of(const std::string& name) const
{
    const std::lock_guard lock(mutex_);
    const auto found = states_.find(name);
    return found == states_.end() ? 0 : found->second.revision();
}

outcome<v1::ApplyChangeResponse>
fake_entry::apply(const v1::ApplyChangeRequest& request)
{
    const std::lock_guard lock(mutex_);
    const auto& change = request.change();
    if (concurrent_change_) {
        put(change.name(), change.kind(), *concurrent_change_);
        concurrent_change_.reset();
    }
    v1::ApplyChangeResponse response;
    auto& state = states_[change.name()];
    if (change.base_revision() != state.revision()) {
        response.mutable_conflict()->set_current_revision(state.revision());
        if (state.has_resource())
            *response.mutable_conflict()->mutable_winner() = state.resource();
        return response;
    }
    put(change.name(), change.kind(), change.resource());
    if (!change.has_resource())
        state.clear_resource();
    auto& outcome_entry = outcomes_[change.change_id()];
    outcome_entry.set_accepted(true);
    outcome_entry.set_revision(revision_);
    response.mutable_accepted()->set_revision(revision_);
    if (unknown_answers_-- > 0)
        return tl::unexpected(
            outcome_unknown(refusal_reason::internal, "the log is slow"));
    return response;
}

outcome<v1::FindChangeResponse>
fake_entry::find(const v1::FindChangeRequest& request) const
{
    const std::lock_guard lock(mutex_);
    v1::FindChangeResponse response;
    const auto outcome_entry = outcomes_.find(request.change_id());
    response.set_found(outcome_entry != outcomes_.end());
    if (response.found())
        *response.mutable_outcome() = outcome_entry->second;
    response.set_revision(revision_);
    return response;
}

outcome<v1::ListResourcesResponse>
fake_entry::list(const v1::ListResourcesRequest& request) const
{
    const std::lock_guard lock(mutex_);
    v1::ListResourcesResponse response;
    response.set_revision(revision_);
    for (const auto& [name, state] : states_) {
        const bool shown = state.has_resource() || request.include_deleted();
        if (state.kind() == request.kind() && shown)
            *response.add_resources() = state;
    }
    return response;
}

outcome<v1::ListRevisionsResponse> fake_entry::revisions() const
{
    const std::lock_guard lock(mutex_);
    v1::ListRevisionsResponse response;
    auto& process = *response.add_processes();
    process.set_process("entry-1");
    process.set_role("entry");
    process.set_revision(revision_);
    return response;
}

void fake_entry::put(const std::string& name, v1::ResourceKind kind,
                     const v1::Resource& resource)
{
    ++record_count_;
    auto& state = states_[name];
    state.set_revision(++revision_);
    state.set_name(name);
    state.set_kind(kind);
    *state.mutable_resource() = resource;
}

} // namespace cyclamenrun
