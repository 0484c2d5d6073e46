/**
 * Enables roarr, which writes nothing unless ROARR_LOG is set. It reads the
 * variable when it is loaded, so this module must be imported before it.
 */
process.env['ROARR_LOG'] ??= 'true';
