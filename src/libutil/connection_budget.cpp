#include <dandeliontack/connection_budget.hpp>

#include <algorithm>
#include <utility>

namespace dandeliontack
{

connection_part::connection_part(
    std::shared_ptr<connection_budget> budget, std::size_t guaranteed)
    : budget_(std::move(budget)),
      guaranteed_(std::min(guaranteed, budget_->unassigned_))
{
    budget_->unassigned_ -= guaranteed_;
}

connection_part::~connection_part()
{
    budget_->unassigned_ += std::max(guaranteed_, taken_);
}

bool connection_part::take()
{
    if (taken_ >= guaranteed_ && budget_->unassigned_ == 0)
        return false;
    if (taken_ >= guaranteed_)
        --budget_->unassigned_;
    ++taken_;
    return true;
}

void connection_part::give_back()
{
    --taken_;
    if (taken_ >= guaranteed_)
        ++budget_->unassigned_;
}

} // namespace dandeliontack
