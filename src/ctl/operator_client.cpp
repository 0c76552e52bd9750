#include "operator_client.hpp"

#include "change_sender.hpp"

#include <thread>

namespace cyclamenrun
{

operator_client::operator_client(const ctl_options& options)
    : client_(options.entry, options.key), deadline_(options.deadline)
{
}

rpc_outcome<v1::ApplyChangeResponse>
operator_client::apply_change(const v1::ChangeRecord& change) const
{
    const change_sender sender({
        [this](const v1::ApplyChangeRequest& request, time_point deadline) {
            return command<v1::ApplyChangeResponse>("ApplyChange", request,
                                                    deadline);
        },
        [this](const v1::FindChangeRequest& request, time_point deadline) {
            return query<v1::FindChangeResponse>("FindChange", request,
                                                 deadline);
        },
        steady_now,
        [](milliseconds time) { std::this_thread::sleep_for(time); },
    });
    return sender.send(change, deadline_);
}

rpc_outcome<v1::DrainUpstreamResponse>
operator_client::drain_upstream(const std::string& upstream) const
{
    v1::DrainUpstreamRequest request;
    request.set_upstream(upstream);
    return command<v1::DrainUpstreamResponse>("DrainUpstream", request,
                                              deadline_);
}

rpc_outcome<v1::ListResourcesResponse>
operator_client::list_resources(v1::ResourceKind kind,
                                bool include_deleted) const
{
    v1::ListResourcesRequest request;
    request.set_kind(kind);
    request.set_include_deleted(include_deleted);
    return query<v1::ListResourcesResponse>("ListResources", request,
                                            deadline_);
}

rpc_outcome<v1::FindChangeResponse>
operator_client::find_change(const std::string& change_id) const
{
    v1::FindChangeRequest request;
    request.set_change_id(change_id);
    return query<v1::FindChangeResponse>("FindChange", request, deadline_);
}

rpc_outcome<v1::ListRevisionsResponse> operator_client::list_revisions() const
{
    return query<v1::ListRevisionsResponse>(
        "ListRevisions", v1::ListRevisionsRequest(), deadline_);
}

rpc_outcome<v1::DumpStateResponse>
operator_client::dump_state(const std::string& upstream) const
{
    v1::DumpStateRequest request;
    request.set_upstream(upstream);
    return query<v1::DumpStateResponse>("DumpState", request, deadline_);
}

template <typename Response>
rpc_outcome<Response>
operator_client::command(std::string_view method,
                         const google::protobuf::Message& request,
                         time_point deadline) const
{
    return client_.call<Response>("cyclamenrun.v1.CommandService", method,
                                  request, deadline);
}

template <typename Response>
rpc_outcome<Response>
operator_client::query(std::string_view method,
                       const google::protobuf::Message& request,
                       time_point deadline) const
{
    return client_.call<Response>("cyclamenrun.v1.QueryService", method,
                                  request, deadline);
}

} // namespace cyclamenrun
