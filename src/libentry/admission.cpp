#include <dandeliontack/admission.hpp>

#include <boost/asio.hpp>

#include <utility>

namespace dandeliontack
{

namespace asio = boost::asio;

namespace
{

constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);
/// The weight of the newest interval in the moving mean is one in so many.
constexpr int interval_smoothing = 8;

} // namespace

struct admission::waiter
{
    waiter(const asio::any_io_executor& executor, time_point deadline)
        : timer(executor, deadline)
    {}

    asio::steady_timer timer;
    std::optional<upstream_pool::lease> granted;
};

admission::admission(
    asio::any_io_executor executor, upstream_pool& pool,
    std::size_t queue_limit, candidates_function candidates)
    : executor_(std::move(executor)),
      pool_(pool),
      queue_limit_(queue_limit),
      candidates_(std::move(candidates))
{
    pool_.on_freed([this] { dispatch(); });
}

asio::awaitable<admission_result>
admission::admit(service_key service, request_class of, time_point deadline)
{
    auto& queue = queues_.try_emplace(service, queue_limit_).first->second;
    if (queue.order.empty())
    {
        if (auto lease = pool_.acquire(candidates_(service)))
            co_return admission_result(std::move(*lease));
        // A mean from before the queue was empty says nothing.
        queue.last_free = {};
    }
    const auto id = ++last_id_;
    const auto pushed = queue.order.push(
        id, of, deadline, std::chrono::steady_clock::now(),
        queue.slot_interval);
    if (pushed != push_result::queued)
        co_return pushed == push_result::full ? admission_refusal::queue_full
                                              : admission_refusal::too_late;
    const auto self = std::make_shared<waiter>(executor_, deadline);
    queue.waiters[id] = self;
    co_await self->timer.async_wait(no_throw);
    if (self->granted)
        co_return admission_result(std::move(*self->granted));
    queue.order.remove(id, of, deadline);
    queue.waiters.erase(id);
    co_return admission_refusal::too_late;
}

void admission::dispatch()
{
    for (auto& [service, queue] : queues_)
        dispatch(service, queue);
}

void admission::dispatch(const service_key& service, service_queue& queue)
{
    while (!queue.order.empty())
    {
        auto lease = pool_.acquire(candidates_(service));
        if (!lease)
            return;
        note_free_slot(queue);
        const auto id = queue.order.pop().value();
        const auto found = queue.waiters.find(id);
        found->second->granted.emplace(std::move(*lease));
        found->second->timer.cancel();
        queue.waiters.erase(found);
    }
}

void admission::note_free_slot(service_queue& queue)
{
    const auto now = std::chrono::steady_clock::now();
    if (queue.last_free != time_point{})
    {
        const auto interval = now - queue.last_free;
        queue.slot_interval +=
            (interval - queue.slot_interval) / interval_smoothing;
    }
    queue.last_free = now;
}

} // namespace dandeliontack
