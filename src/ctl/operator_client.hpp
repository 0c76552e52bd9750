#ifndef CYCLAMENRUN_OPERATOR_CLIENT_HPP
#define CYCLAMENRUN_OPERATOR_CLIENT_HPP

#include "ctl_options.hpp"
#include "operator.pb.h"
#include "rpc_client.hpp"

#include <string>

namespace cyclamenrun
{

/** Makes the typed calls of the operators' API to one entry. */
class operator_client
{
public:
    explicit operator_client(const ctl_options& options);

    /** Sends the change until its outcome is known; see change_sender. */
    rpc_outcome<v1::ApplyChangeResponse>
    apply_change(const v1::ChangeRecord& change) const;
    rpc_outcome<v1::DrainUpstreamResponse>
    drain_upstream(const std::string& upstream) const;

    rpc_outcome<v1::ListResourcesResponse>
    list_resources(v1::ResourceKind kind, bool include_deleted) const;
    rpc_outcome<v1::FindChangeResponse>
    find_change(const std::string& change_id) const;
    rpc_outcome<v1::ListRevisionsResponse> list_revisions() const;
    /**
     * Returns the state of an upstream's agent, or that of the entry if
     * `upstream` is empty.
     */
    rpc_outcome<v1::DumpStateResponse>
    dump_state(const std::string& upstream) const;

    time_point deadline() const { return deadline_; }

private:
    template <typename Response>
    rpc_outcome<Response> command(std::string_view method,
                                  const google::protobuf::Message& request,
                                  time_point deadline) const;
    template <typename Response>
    rpc_outcome<Response> query(std::string_view method,
                                const google::protobuf::Message& request,
                                time_point deadline) const;

    rpc_client client_;
    time_point deadline_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_OPERATOR_CLIENT_HPP
