#pragma once

#include <dandeliontack/machine_list.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dandeliontack
{

/// Finds hosts that have ended by comparing successive machine lists. Load
/// pattern: the hosts of a rack fall silent during a load peak. Their owners
/// can't tell a crash from a cut link and would wait for every lease to expire,
/// while the platform already lists the machines without a host.
class departure_watch
{
public:
    /// Expects a host that the next lists may not name at all.
    void expect(const listed_machine& machine);

    /// Records a list, which must have been requested after the last one was
    /// answered.
    void observe(const std::vector<listed_machine>& machines);

    /// The machines whose host is missing from the last `lists_to_confirm`
    /// lists, as listed before; without those passed to `forget`.
    std::vector<listed_machine> departed() const;

    /// Whether a host is missing from some of the last lists, but not from
    /// enough.
    bool is_unconfirmed() const;

    /// To be called once the host's owner knows that it has ended.
    void forget(const std::string& host);

    /// Pages of a list are not a snapshot, so that a single list may lack a
    /// machine that is up.
    static constexpr std::uint32_t lists_to_confirm = 2;
    /// A host is forgotten after it was missing from this many lists, in which
    /// time every lease on it expires: its pool may have no owner.
    static constexpr std::uint32_t lists_to_forget = 100;

private:
    struct known_host
    {
        listed_machine machine;
        /// Successive lists that did not name the host.
        std::uint32_t missed = 0;
    };

    std::map<std::string, known_host> hosts_;
};

} // namespace dandeliontack
