// Package quarantine recognises a request that comes again under another identity.
//
// It does no input or output and keeps no state.
package quarantine
