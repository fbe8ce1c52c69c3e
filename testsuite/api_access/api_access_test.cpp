// Without a token only health is answered; a team's token shows the values of
// that team and what all share.

#include "harness/cluster.hpp"
#include <dandeliontack/http_get.hpp>

#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <gtest/gtest.h>

namespace
{

using namespace dandeliontack;
using namespace dandeliontack::harness;
namespace http = boost::beast::http;

constexpr const char* ops_secret = "operators-secret-1";
constexpr const char* payroll_secret = "payroll-secret-22";
constexpr const char* configuration =
    "[pool registry]\nhosts = w1\n"
    "[team payroll]\nquota_processors = 8\nquota_memory_mb = 1024\n"
    "[team press]\nquota_processors = 4\nquota_memory_mb = 512\n";

class api_access_case : public ::testing::Test
{
protected:
    api_access_case()
    {
        system.api_section = std::string("[api]\ntokens = ops:") + ops_secret +
                             ":*, reader:" + payroll_secret + ":payroll\n";
    }

    static http::status
    status_of(const endpoint& to, const char* target, const char* secret)
    {
        const auto page = get_page({to, target, secret});
        return page ? page->result() : http::status::unknown;
    }

    cluster system;
};

TEST_F(api_access_case, without_a_token_only_health_is_answered)
{
    const auto& control = system.add_control("control-1");
    const auto& entry = system.add_entry("entry-1", control.grpc);
    for (const auto& admin : {control.admin, entry.admin})
    {
        EXPECT_EQ(status_of(admin, "/healthz", ""), http::status::ok);
        for (const auto* target :
             {"/v1/status", "/v1/values", "/v1/outcome", "/metrics", "/other"})
        {
            EXPECT_EQ(status_of(admin, target, ""), http::status::unauthorized)
                << target;
            EXPECT_EQ(
                status_of(admin, target, "a-secret-of-nobody"),
                http::status::unauthorized)
                << target;
        }
        EXPECT_EQ(status_of(admin, "/metrics", ops_secret), http::status::ok);
        EXPECT_EQ(
            status_of(admin, "/metrics", payroll_secret),
            http::status::forbidden);
    }
}

TEST_F(api_access_case, without_settings_nothing_but_health_is_answered)
{
    system.api_section.clear();
    const auto& control = system.add_control("control-1");
    EXPECT_EQ(status_of(control.admin, "/healthz", ""), http::status::ok);
    EXPECT_EQ(
        status_of(control.admin, "/v1/status", ""), http::status::unauthorized);
}

TEST_F(api_access_case, a_teams_token_shows_no_other_team)
{
    const auto& control = system.add_control("control-1");
    const auto token = system.folder.write("token", ops_secret);
    const auto file = system.folder.write("all.ini", configuration);
    const auto published = system.tackctl(
        control.admin, {"--token_file=" + token, "publish", file});
    ASSERT_EQ(published.exit_code, 0) << published.errors;

    const auto values = [&](const char* secret) {
        const auto page = get_json_page({control.admin, "/v1/values", secret});
        return page->at("values").as_object();
    };
    EXPECT_EQ(values(ops_secret).size(), 3U);
    const auto shown = values(payroll_secret);
    EXPECT_TRUE(shown.contains("pool registry"));
    EXPECT_TRUE(shown.contains("team payroll"));
    EXPECT_FALSE(shown.contains("team press"));
    const auto status =
        get_json_page({control.admin, "/v1/status", payroll_secret});
    EXPECT_EQ(status->at("teams").as_array().size(), 1U);
    EXPECT_FALSE(status->at("revisions").as_object().contains("team press"));
}

TEST_F(api_access_case, bad_tokens_are_found_and_not_shown)
{
    const auto settings = system.folder.write(
        "bad.ini", "[node]\nname = x\ndata_centre = d\n"
                   "[log]\naddress = 127.0.0.1:1\n"
                   "[hosts]\naddress = 127.0.0.1:1\n"
                   "[grpc]\nlisten = 127.0.0.1:0\n"
                   "[admin]\nlisten = 127.0.0.1:0\n"
                   "[api]\ntokens = ops:short:*, a:operators-secret-1:*, "
                   "b:operators-secret-1:payroll\n");
    const auto result = run_program(
        "src/tack-control/tack-control", {"--check", "--settings=" + settings},
        system.folder.path() / "bad.log");
    EXPECT_EQ(result.exit_code, 2);
    EXPECT_NE(result.errors.find("token 1 must be"), std::string::npos);
    EXPECT_NE(
        result.errors.find("token 3 has the secret of another"),
        std::string::npos);
    EXPECT_EQ(result.errors.find(ops_secret), std::string::npos);
}

} // namespace
