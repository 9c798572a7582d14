#include "jujube/http/tls.h"

#include <openssl/err.h>

#include "absl/strings/str_cat.h"
#include "jujube/base/secret_file.h"

namespace jujube::http {
namespace {

Error fileError(absl::string_view what, const std::string &path) {
  ERR_clear_error();
  return Error{ErrorKind::InvalidArgument,
               absl::StrCat("can't use the ", what, " in '", path, "'"),
               "give readable PEM files and a private key that matches the "
               "certificate"};
}

} // namespace

Result<std::shared_ptr<SSL_CTX>> makeTlsContext(const TlsFiles &files) {
  std::shared_ptr<SSL_CTX> context(SSL_CTX_new(TLS_server_method()),
                                   SSL_CTX_free);
  if (!context)
    return Error{ErrorKind::Internal, "TLS can't be set up",
                 "check the installation of OpenSSL"};
  SSL_CTX_set_min_proto_version(context.get(), TLS1_2_VERSION);
  SSL_CTX_set_mode(context.get(), SSL_MODE_RELEASE_BUFFERS);
  if (SSL_CTX_use_certificate_chain_file(context.get(),
                                         files.Certificate.c_str()) != 1)
    return fileError("certificate", files.Certificate);
  if (const Status status = checkSecretFile(files.PrivateKey); !isOk(status))
    return errorOf(status);
  if (SSL_CTX_use_PrivateKey_file(context.get(), files.PrivateKey.c_str(),
                                  SSL_FILETYPE_PEM) != 1 ||
      SSL_CTX_check_private_key(context.get()) != 1)
    return fileError("private key", files.PrivateKey);
  return context;
}

} // namespace jujube::http
