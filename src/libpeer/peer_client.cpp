#include "peer.grpc.pb.h"
#include <dandeliontack/peer_client.hpp>

#include <boost/asio/post.hpp>
#include <grpcpp/grpcpp.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <utility>

namespace dandeliontack
{

namespace asio = boost::asio;

namespace
{

// One call; kept alive by its completion.
struct call
{
    grpc::ClientContext context;
    wire::relay_request request;
    wire::relay_reply reply;
    std::chrono::steady_clock::time_point asked =
        std::chrono::steady_clock::now();
};

// The peer's time of confirmation can't be older than its age says, counted
// back from before it was asked.
relayed_records interpret(const call& done)
{
    const auto& reply = done.reply;
    return {
        done.request.system_from(),
        done.request.operators_from(),
        {reply.system().begin(), reply.system().end()},
        {reply.operators().begin(), reply.operators().end()},
        reply.system_end(),
        done.asked - std::chrono::milliseconds(reply.confirmed_age_ms())};
}

} // namespace

struct peer_client::core
{
    asio::any_io_executor executor;
    std::map<endpoint, std::unique_ptr<wire::peer::Stub>> stubs;

    // Guards the calls under way, which gRPC's threads end.
    std::mutex mutex;
    std::condition_variable idle;
    std::set<std::shared_ptr<call>> calls;

    void
    finish(const std::shared_ptr<call>& done, bool ok, const handler& on_reply)
    {
        if (ok)
            asio::post(
                executor, [done, on_reply] { on_reply(interpret(*done)); });
        const std::scoped_lock lock(mutex);
        calls.erase(done);
        idle.notify_all();
    }

    wire::peer::Stub& stub_of(const endpoint& peer)
    {
        auto& stub = stubs[peer];
        if (!stub)
            stub = wire::peer::NewStub(grpc::CreateChannel(
                to_string(peer), grpc::InsecureChannelCredentials()));
        return *stub;
    }
};

peer_client::peer_client(asio::any_io_executor executor)
    : core_(std::make_unique<core>())
{
    core_->executor = std::move(executor);
}

// A call that ended later would post to an executor that may be gone.
peer_client::~peer_client()
{
    std::unique_lock lock(core_->mutex);
    for (const auto& open : core_->calls)
        open->context.TryCancel();
    core_->idle.wait(lock, [&] { return core_->calls.empty(); });
}

void peer_client::ask(
    const endpoint& peer, std::uint64_t system_from,
    std::uint64_t operators_from, std::chrono::milliseconds timeout,
    handler on_reply)
{
    auto now = std::make_shared<call>();
    now->context.set_deadline(std::chrono::system_clock::now() + timeout);
    now->request.set_system_from(system_from);
    now->request.set_operators_from(operators_from);
    {
        const std::scoped_lock lock(core_->mutex);
        core_->calls.insert(now);
    }
    core_->stub_of(peer).async()->relay(
        &now->context, &now->request, &now->reply,
        [now, owner = core_.get(),
         on_reply = std::move(on_reply)](const grpc::Status& status) {
            owner->finish(now, status.ok(), on_reply);
        });
}

} // namespace dandeliontack
