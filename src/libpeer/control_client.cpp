#include "control.grpc.pb.h"
#include "routing_codec.hpp"
#include <dandeliontack/control_client.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <utility>

namespace dandeliontack
{

namespace asio = boost::asio;

namespace
{

constexpr auto shortest_backoff = std::chrono::milliseconds(50);
constexpr auto longest_backoff = std::chrono::milliseconds(1000);

} // namespace

struct control_client::core : std::enable_shared_from_this<core>
{
    class reader;

    core(
        asio::any_io_executor run_on, const endpoint& control,
        std::string node_name, table_handler table, link_handler link,
        confirmation_handler confirmation)
        : executor(std::move(run_on)),
          node(std::move(node_name)),
          on_table(std::move(table)),
          on_link(std::move(link)),
          on_confirmation(std::move(confirmation)),
          timer(executor),
          stub(wire::control::NewStub(grpc::CreateChannel(
              to_string(control), grpc::InsecureChannelCredentials())))
    {}

    void subscribe();
    void subscribe_later();
    void stream_ended();
    void take(const wire::routing_table& message);

    asio::any_io_executor executor;
    std::string node;
    table_handler on_table;
    link_handler on_link;
    confirmation_handler on_confirmation;
    asio::steady_timer timer;
    std::unique_ptr<wire::control::Stub> stub;
    std::chrono::milliseconds backoff = shortest_backoff;

    // Guards what follows, which the reader's threads use as well.
    std::mutex mutex;
    std::condition_variable idle;
    reader* active = nullptr;
    bool stopped = false;
};

// One stream. Deletes itself when gRPC is done with it.
class control_client::core::reader final
    : public grpc::ClientReadReactor<wire::routing_table>
{
public:
    explicit reader(std::shared_ptr<core> owner) : owner_(std::move(owner))
    {
        request_.set_node(owner_->node);
    }

    void start()
    {
        owner_->stub->async()->subscribe_routing(&context_, &request_, this);
        StartRead(&table_);
        StartCall();
    }

    void cancel()
    {
        context_.TryCancel();
    }

    void OnReadDone(bool ok) override
    {
        if (!ok)
            return;
        asio::post(owner_->executor, [owner = owner_, message = table_]() {
            owner->take(message);
        });
        StartRead(&table_);
    }

    void OnDone(const grpc::Status& /*status*/) override
    {
        const auto owner = std::move(owner_);
        delete this;
        {
            const std::scoped_lock lock(owner->mutex);
            owner->active = nullptr;
            owner->idle.notify_all();
        }
        asio::post(owner->executor, [owner] { owner->stream_ended(); });
    }

private:
    std::shared_ptr<core> owner_;
    grpc::ClientContext context_;
    wire::routing_request request_;
    wire::routing_table table_;
};

void control_client::core::take(const wire::routing_table& message)
{
    backoff = shortest_backoff;
    on_link(true);
    if (!message.confirmation_only())
        on_table(from_wire(message));
    else if (on_confirmation)
        on_confirmation(
            std::chrono::steady_clock::time_point(
                std::chrono::milliseconds(message.confirmed_ms())),
            {message.system_end(), message.operators_end()});
}

void control_client::core::subscribe()
{
    const std::scoped_lock lock(mutex);
    if (stopped)
        return;
    active = new reader(shared_from_this());
    active->start();
}

void control_client::core::subscribe_later()
{
    timer.expires_after(backoff);
    backoff = std::min(backoff * 2, std::chrono::milliseconds(longest_backoff));
    timer.async_wait([self = shared_from_this()](auto ec) {
        if (!ec)
            self->subscribe();
    });
}

void control_client::core::stream_ended()
{
    if (stopped)
        return;
    on_link(false);
    subscribe_later();
}

control_client::control_client(
    asio::any_io_executor executor, const endpoint& control, std::string node,
    table_handler on_table, link_handler on_link,
    confirmation_handler on_confirmation)
    : core_(std::make_shared<core>(
          std::move(executor), control, std::move(node), std::move(on_table),
          std::move(on_link), std::move(on_confirmation)))
{}

control_client::~control_client()
{
    stop();
}

void control_client::start()
{
    core_->subscribe();
}

void control_client::stop()
{
    std::unique_lock lock(core_->mutex);
    core_->stopped = true;
    if (core_->active)
        core_->active->cancel();
    core_->idle.wait(lock, [&] { return core_->active == nullptr; });
    core_->timer.cancel();
}

} // namespace dandeliontack
