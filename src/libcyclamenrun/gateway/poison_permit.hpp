#ifndef CYCLAMENRUN_POISON_PERMIT_HPP
#define CYCLAMENRUN_POISON_PERMIT_HPP

#include "gateway_context.hpp"
#include "poison_guard.hpp"
#include "served_request.hpp"

#include <optional>
#include <string>

namespace cyclamenrun
{

/**
 * One request's permission to be sent, as far as upstreams have crashed under
 * it or a part of its prompt, and what its runs show of them.
 */
class poison_permit
{
public:
    poison_permit(gateway_context& context, served_request& served)
        : context_(context), served_(served)
    {
    }
    poison_permit(const poison_permit&) = delete;
    poison_permit& operator=(const poison_permit&) = delete;
    ~poison_permit() { release(); }

    /** To be asked before each send; see poison_guard::admit(). */
    poison_admission admit();
    /** Lets others run what is suspected of this request. */
    void release() { context_.poison.end_solo(claim_); }
    /** True if the last admission was a trial. */
    bool on_trial() const { return on_trial_; }
    /** True if the request would crash its upstream, unless it is on trial. */
    bool is_convicted() const;

    // The run at an upstream.

    void begin_run();
    /** Records that a part of the answer has arrived. */
    void record_part();
    /** Records that the answer is complete. */
    void record_success(const std::string& upstream_id);
    /**
     * The run as it is held against the request if its upstream has crashed.
     * `responding`: the upstream has begun to answer.
     */
    lost_run lost_now(bool responding) const;

private:
    gateway_context& context_;
    served_request& served_;
    solo_run claim_;
    bool on_trial_ = false;
    time_point began_at_{};
    std::optional<time_point> first_part_at_; ///< of the run
    bool settled_ = false; ///< the run has gone on for `settling_time`
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_POISON_PERMIT_HPP
