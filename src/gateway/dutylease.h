/** \file
 * Decides when this gateway tries to become the holder of the usage duty, and when it stops to be it.
 *
 * The holder has a key in the store under a lease. It acts only while the lease is certainly valid: counted from when
 * its last confirmed renewal was sent. All times are by a clock that counts while the VM is frozen (bootTime()), so
 * that a holder that was frozen knows it.
 */
#pragma once

#include "dutystep.h"
#include "timepoint.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Cyclamenturn
{

/** What a gateway knows of the other ones. */
struct DutySituation
{
    /** How long no other gateway has asked this one for counts as the holder, by a clock that doesn't count while the
     * VM is frozen. */
    Duration unaskedFor{};
    /** The number of live gateways that precede this one in the order of names. */
    int precedingGateways = 0;
    /** UsageCollection::hearsMostGateways(). */
    bool hearsMostGateways = true;
    /** Uniformly distributed in [0, 1). */
    double draw = 0;
};

enum class TenureEnd {
    /** The lease wasn't renewed in time, or the process was frozen. */
    LeaseUncertain,
    LeaseLost,
    /** The API has seen a higher token. */
    TokenRejected,
    StoreRestored,
    /** The holder's key has another revision or is gone. */
    KeyChanged,
    GatewaysSilent,
    SettingsChanged,
    PlannedStop,
};

const char *toString(TenureEnd reason);

class DutyLease
{
public:
    /** Eras are multiplied by this in fencing tokens. */
    static constexpr std::uint64_t REVISIONS_PER_ERA = 1000000000;

    struct Tenure
    {
        std::uint64_t token = 0;
        std::uint64_t era = 0;
        /** Of the holder's key. */
        std::uint64_t revision = 0;
        TimePoint since;
    };

    /** `process` is different for each process. */
    DutyLease(std::string process, Duration lifetime, TimePoint now);

    /** The call to make now. Its response goes to responseReceived(), and until then there is no further step. */
    DutyStep nextStep(const DutySituation &situation, TimePoint now);
    void responseReceived(const DutyResponse &response, TimePoint now);
    /** Notes the era of any response of the store. */
    void noteEra(std::uint64_t era, TimePoint now);
    /** Ends the tenure if it may not go on. */
    void check(const DutySituation &situation, TimePoint now);
    /** Ends the tenure or the attempt to become the holder. A missing response is ignored from then on. */
    void end(TenureEnd reason, TimePoint now);

    /** Whether this gateway is certainly the holder. To be asked immediately before each action of the holder. */
    bool isHolder(TimePoint now) const
    {
        return m_tenure && now < m_certainUntil;
    }
    /** Also set while the lease isn't certain any more, until the next check(). */
    const std::optional<Tenure> &tenure() const
    {
        return m_tenure;
    }
    /** Why the last tenure ended; empty if there was none. */
    std::optional<TenureEnd> lastEnd() const
    {
        return m_lastEnd;
    }

private:
    enum class Phase {
        Waiting,
        /** Reads who is the holder, before it writes. */
        Looking,
        Leasing,
        Writing,
        /** Reads who is the holder, as the result of the write isn't known. */
        Verifying,
        Holding,
    };

    bool mayTry(const DutySituation &situation, TimePoint now);
    /** How much later than the first gateway this one tries. */
    Duration turn() const;
    DutyStep call(DutyStep step, TimePoint now);
    std::string ownValue() const;
    void holderRead(const DutyResponse &response, TimePoint now);
    void leaseCreated(const DutyResponse &response, TimePoint now);
    void holderWritten(const DutyResponse &response, TimePoint now);
    void leaseRenewed(const DutyResponse &response, TimePoint now);
    /** The store has confirmed a new lease or a renewal. */
    void noteConfirmed();
    void beginTenure(std::uint64_t revision, TimePoint now);
    /** Gives the attempt up; the next one follows after `delay` at the earliest. */
    void giveUp(Duration delay, TimePoint now);

    std::string m_process;
    Duration m_lifetime;
    Phase m_phase = Phase::Waiting;
    /** The call whose response is expected; `std::monostate` if none is. */
    DutyStep m_openStep;
    TimePoint m_sentAt;
    /** No step of the present phase before. */
    TimePoint m_notBefore;
    std::uint64_t m_era = 0;
    std::uint64_t m_lease = 0;
    std::uint64_t m_leaseToEnd = 0;
    /** The lifetime of m_lease as the store has granted it. */
    Duration m_granted{};
    std::uint64_t m_attempt = 0;
    /** When m_lease ends at the earliest, less a margin. */
    TimePoint m_certainUntil;
    TimePoint m_renewedAt;
    std::optional<Tenure> m_tenure;
    std::optional<TenureEnd> m_lastEnd;
    /** Set when a restored store ended the tenure: this gateway needn't wait until nobody asks for counts. */
    std::optional<TimePoint> m_restoredAt;
    /** Of the gateways, as of the last step. */
    int m_precedingGateways = 0;
    /** Drawn once for each attempt. */
    std::optional<double> m_draw;
};

}
