/**
 * Roarr drops every message unless `ROARR_LOG` is set when it is first
 * imported, so this module is imported before it. An operator can still
 * silence a process with `ROARR_LOG=false`.
 */
process.env['ROARR_LOG'] ??= 'true';
