#include <dandeliontack/http_header_scan.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace
{

using namespace dandeliontack;

TEST(scan_header, tells_the_shapes_apart)
{
    EXPECT_EQ(scan_header(""), header_scan::incomplete);
    EXPECT_EQ(scan_header("GET / HTTP/1.1\r\na: b\r"), header_scan::incomplete);
    EXPECT_EQ(
        scan_header("GET / HTTP/1.1\r\na: b\r\n\r\n x"), header_scan::complete);
    EXPECT_EQ(scan_header("GET /\n\n"), header_scan::bare_line_feed);
    EXPECT_EQ(
        scan_header("GET / HTTP/1.1\r\na: b\r\n c\r\n\r\n"),
        header_scan::folded_line);
    EXPECT_EQ(
        scan_header("\r\nGET / HTTP/1.1\r\n\r\n"),
        header_scan::empty_first_line);
}

// However the bytes are cut into reads, the verdict is the same.
RC_GTEST_PROP(scan_header, does_not_depend_on_the_reads, ())
{
    const auto bytes = *rc::gen::container<std::string>(
        rc::gen::element('\r', '\n', ' ', '\t', 'a', ':'));
    const auto whole = scan_header(bytes);
    auto found = header_scan::incomplete;
    for (std::size_t n = 0; n <= bytes.size(); ++n)
        if (found == header_scan::incomplete)
            found = scan_header(std::string_view(bytes).substr(0, n));
    RC_ASSERT(found == whole);
}

} // namespace
