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

/** Serves an entry's operator API from an in-memory configuration. */
class fake_entry
{
public:
    fake_entry();
    ~fake_entry();
    fake_entry(const fake_entry&) = delete;
    fake_entry& operator=(const fake_entry&) = delete;

    ip_endpoint address() const;
    const secret& key() const { return key_; }

    /**
     * Makes the next `count` changes take effect but answers them with an
     * unknown outcome.
     */
    void answer_unknown(int count);
    /** Applies a change of another operator just before the next change. */
    void change_before_next_apply(const v1::Resource& resource);
    /** Returns the number of records that the log would contain. */
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
    int record_count_ = 0;
    int unknown_answers_ = 0;
    std::unique_ptr<v1::Resource> concurrent_change_;
    Poco::ThreadPool threads_;
    std::unique_ptr<Poco::Net::HTTPServer> server_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_TESTS_FAKE_ENTRY_HPP
