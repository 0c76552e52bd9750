#include "operator_queries.hpp"

#include "configuration_store.hpp"

namespace cyclamenrun
{

namespace
{

refusal no_configuration()
{
    return not_run(refusal_reason::not_ready,
                   "this entry has not loaded a configuration yet",
                   milliseconds(1000));
}

} // namespace

operator_queries::operator_queries(const configuration_store& store,
                                   const configuration_revisions& revisions,
                                   process_identity self, clock_function clock)
    : store_(store), revisions_(revisions), self_(std::move(self)),
      clock_(std::move(clock))
{
}

outcome<v1::ListResourcesResponse>
operator_queries::list_resources(const v1::ListResourcesRequest& request) const
{
    const auto view = store_.view();
    if (!view)
        return tl::unexpected(no_configuration());
    v1::ListResourcesResponse response;
    response.set_revision(view->revision);
    for (const auto& state :
         view->resources.of_kind(request.kind(), request.include_deleted()))
        *response.add_resources() = *state;
    return response;
}

outcome<v1::FindChangeResponse>
operator_queries::find_change(const v1::FindChangeRequest& request) const
{
    if (!store_.ready())
        return tl::unexpected(no_configuration());
    v1::FindChangeResponse response;
    // The revision is read first: if a record is applied in between, the
    // outcome is newer than the reported revision, never older.
    response.set_revision(store_.revision());
    const auto known = store_.find_change(request.change_id());
    response.set_found(known.has_value());
    if (known)
        *response.mutable_outcome() = *known;
    return response;
}

outcome<v1::ListRevisionsResponse> operator_queries::list_revisions(
    const v1::ListRevisionsRequest& /*request*/) const
{
    v1::ListRevisionsResponse response;
    v1::ProcessRevision& self = *response.add_processes();
    self.set_process(self_.process);
    self.set_role(std::string(name_of(self_.role)));
    self.set_failure_domain(self_.failure_domain);
    self.set_revision(store_.ready() ? store_.revision() : 0);
    for (auto& known : revisions_.list(clock_())) {
        if (known.process() != self_.process)
            *response.add_processes() = std::move(known);
    }
    return response;
}

} // namespace cyclamenrun
