#include "support/tls_identity_file.hpp"

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <stdexcept>
#include <unistd.h>

namespace savoryscale::test {

namespace {

using file_ptr = std::unique_ptr<FILE, decltype(&fclose)>;

// Creates and opens a temporary file and stores its name in `name`.
file_ptr open_new(std::string& name)
{
    name = "/tmp/savoryscale-test-XXXXXX";
    const int descriptor = mkstemp(name.data());
    if (descriptor < 0) {
        throw std::runtime_error{"cannot create a temporary file"};
    }
    return {fdopen(descriptor, "w"), &fclose};
}

} // namespace

tls_identity_file::tls_identity_file()
{
    constexpr long valid_seconds = 3600;
    const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key{EVP_EC_gen("P-256"),
                                                                  &EVP_PKEY_free};
    const std::unique_ptr<X509, decltype(&X509_free)> certificate{X509_new(), &X509_free};
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), 0);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), valid_seconds);
    X509_set_pubkey(certificate.get(), key.get());
    X509_NAME* name = X509_get_subject_name(certificate.get());
    X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC,
                               reinterpret_cast<const unsigned char*>("127.0.0.1"), -1, -1, 0);
    X509_set_issuer_name(certificate.get(), name);
    X509_sign(certificate.get(), key.get(), EVP_sha256());
    PEM_write_X509(open_new(certificate_file_).get(), certificate.get());
    PEM_write_PrivateKey(open_new(key_file_).get(), key.get(), nullptr, nullptr, 0, nullptr,
                         nullptr);
}

tls_identity_file::~tls_identity_file()
{
    unlink(certificate_file_.c_str());
    unlink(key_file_.c_str());
}

} // namespace savoryscale::test
