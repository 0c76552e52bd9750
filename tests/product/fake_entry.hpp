#ifndef CYCLAMENRUN_TESTS_FAKE_ENTRY_HPP
#define CYCLAMENRUN_TESTS_FAKE_ENTRY_HPP

#include "ip_endpoint.hpp"
#include "operator.pb.h"
#include "refusal.hpp"
#include "secret.hpp"

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace cyclamenrun
{

/** An entry's operator address with a configuration of its own, for tests. */
class fake_entry
{
public:
    fake_entry();
    ~fake_entry();
    fake_entry(const fake_entry&) = delete;
    fake_entry& operator=(const fake_entry&) = delete;

    ip_endpoint address() const;
    const secret& key() const { return key_; }

    /** The next changes take effect, but their answers say unknown. */
    void lose_answers(int count);
    /** Another operator changes the resource behind the client's back. */
    void change_before_next_apply(const v1::Resource& resource);
    /** How many records the log would hold. */
    int records() const;
    std::uint64_t revision_of(const std::string& name) const;

private:
    outcome<v1::ApplyChangeResponse>
    apply(const v1::ApplyChangeRequest& request);
    outcome<v1::FindChangeResponse>
    find(const v1::FindChangeRequest& request) const;
    outcome<v1::ListResourcesResponse>
    list(const v1::ListResourcesRequest& request) const;
    outcome<v1::ListRevisionsResponse> revisions() const;
    void put(const std::string& name, v1::ResourceKind kind,
             const v1::Resource& resource);

    mutable std::mutex mutex_;
    secret key_;
    std::map<std::string, v1::ResourceState> states_;
    std::map<std::string, v1::ChangeOutcome> outcomes_;
    std::uint64_t revision_ = 0;
    int records_ = 0;
    int lost_answers_ = 0;
    std::unique_ptr<v1::Resource> racing_change_;
    Poco::ThreadPool threads_;
    std::unique_ptr<Poco::Net::HTTPServer> server_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_TESTS_FAKE_ENTRY_HPP
