#pragma once

#include <cstddef>
#include <memory>

namespace dandeliontack
{

class connection_part;

/// Divides the connections that clients may hold of a process among the
/// addresses that it listens on. Each address is guaranteed a part; the rest
/// goes to whichever asks first. For one thread.
class connection_budget
{
public:
    explicit connection_budget(std::size_t most) : unassigned_(most) {}
    connection_budget(const connection_budget&) = delete;
    connection_budget& operator=(const connection_budget&) = delete;

private:
    friend class connection_part;

    // Neither guaranteed to an address nor taken beyond such a guarantee.
    std::size_t unassigned_;
};

/// The connections of one address.
class connection_part
{
public:
    /// `guaranteed` is reduced to what the budget has left.
    connection_part(
        std::shared_ptr<connection_budget> budget, std::size_t guaranteed);
    ~connection_part();
    connection_part(const connection_part&) = delete;
    connection_part& operator=(const connection_part&) = delete;

    /// Takes a connection, if there is one left.
    bool take();
    void give_back();

    std::size_t taken() const
    {
        return taken_;
    }

private:
    std::shared_ptr<connection_budget> budget_;
    std::size_t guaranteed_;
    std::size_t taken_ = 0;
};

} // namespace dandeliontack
