#include "settings/tls_files.hpp"

#include "base/file.hpp"

#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include <memory>

namespace savoryscale::settings {

namespace {

using bio_ptr = std::unique_ptr<BIO, decltype(&BIO_free)>;
using certificate_ptr = std::unique_ptr<X509, decltype(&X509_free)>;
using key_ptr = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;

error make_error(std::string_view member, std::string what, std::string remedy)
{
    return {error_kind::invalid, std::string{member}, std::move(what), std::move(remedy)};
}

// Rejects an encrypted key; OpenSSL would otherwise ask for the passphrase on the terminal.
int no_passphrase(char* /*buffer*/, int /*size*/, int /*writing*/, void* /*user*/)
{
    return -1;
}

bio_ptr make_memory_bio(const std::string& text)
{
    return {BIO_new_mem_buf(text.data(), static_cast<int>(text.size())), &BIO_free};
}

} // namespace

std::optional<error> check_tls_files(const tls_identity& identity)
{
    constexpr auto certificate_member = "certificate_file";
    constexpr auto key_member = "key_file";
    constexpr auto unreadable = "names a file that cannot be read";
    constexpr auto readable_remedy = "check the file's name and permissions";
    const auto certificate_text = read_file(identity.certificate_file_);
    if (!certificate_text) {
        return make_error(certificate_member, unreadable, readable_remedy);
    }
    const auto key_text = read_file(identity.key_file_);
    if (!key_text) {
        return make_error(key_member, unreadable, readable_remedy);
    }
    const certificate_ptr certificate{PEM_read_bio_X509(make_memory_bio(*certificate_text).get(),
                                                        nullptr, no_passphrase, nullptr),
                                      &X509_free};
    const key_ptr key{
        PEM_read_bio_PrivateKey(make_memory_bio(*key_text).get(), nullptr, no_passphrase, nullptr),
        &EVP_PKEY_free};
    const bool match =
        certificate && key && X509_check_private_key(certificate.get(), key.get()) == 1;
    ERR_clear_error();
    if (!certificate) {
        return make_error(
            certificate_member, "names a file that contains no PEM certificate",
            "provide the certificate in PEM format, before the certificates of its chain");
    }
    if (!key) {
        return make_error(key_member, "names a file that contains no unencrypted PEM key",
                          "provide the private key in PEM format without a passphrase");
    }
    if (!match) {
        return make_error(key_member, "names a key that does not belong to the certificate",
                          "provide the key that the certificate was issued for");
    }
    return std::nullopt;
}

} // namespace savoryscale::settings
