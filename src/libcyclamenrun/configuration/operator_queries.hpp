#ifndef CYCLAMENRUN_OPERATOR_QUERIES_HPP
#define CYCLAMENRUN_OPERATOR_QUERIES_HPP

#include "clock.hpp"
#include "configuration_revisions.hpp"
#include "operator.pb.h"
#include "refusal.hpp"

namespace cyclamenrun
{

class configuration_store;

/** Operators' queries on the configuration, independent of HTTP. */
class operator_queries
{
public:
    operator_queries(const configuration_store& store,
                     const configuration_revisions& revisions,
                     process_identity self, clock_function clock);

    outcome<v1::ListResourcesResponse>
    list_resources(const v1::ListResourcesRequest& request) const;
    outcome<v1::FindChangeResponse>
    find_change(const v1::FindChangeRequest& request) const;
    outcome<v1::ListRevisionsResponse>
    list_revisions(const v1::ListRevisionsRequest& request) const;

private:
    const configuration_store& store_;
    const configuration_revisions& revisions_;
    process_identity self_;
    clock_function clock_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_OPERATOR_QUERIES_HPP
